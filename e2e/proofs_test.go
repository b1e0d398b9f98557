package e2e

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	testPattern      = regexp.MustCompile("`([a-z0-9]+)` ((?:Test|Benchmark)[A-Za-z0-9]+)")
	benchmarkPattern = regexp.MustCompile(`benchmark ([A-Z][A-Za-z0-9]+)`)
	mutantPattern    = regexp.MustCompile(`mutants? ([a-z0-9, -]+)`)
)

// TestProofsPageNamesExistingTests checks that each test, benchmark and mutant that
// docs/PROOFS.md names exists.
func TestProofsPageNamesExistingTests(t *testing.T) {
	doc, err := os.ReadFile("../docs/PROOFS.md")
	if err != nil {
		t.Fatal(err)
	}
	mutants, err := os.ReadFile("../scripts/mutants.sh")
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for _, m := range testPattern.FindAllStringSubmatch(string(doc), -1) {
		count++
		if !declares(t, filepath.Join("..", m[1]), "func "+m[2]+"(") {
			t.Errorf("package %s has no %s", m[1], m[2])
		}
	}
	for _, m := range benchmarkPattern.FindAllStringSubmatch(string(doc), -1) {
		if !declares(t, "../bench", "func Benchmark"+m[1]+"(") && !declares(t, ".", "func Benchmark"+m[1]+"(") {
			t.Errorf("no benchmark %s", m[1])
		}
	}
	for _, m := range mutantPattern.FindAllStringSubmatch(string(doc), -1) {
		for name := range strings.SplitSeq(m[1], ",") {
			if name = strings.TrimSpace(name); strings.Contains(name, "-") && !strings.Contains(string(mutants), "mutant "+name+" ") {
				t.Errorf("scripts/mutants.sh has no %q", name)
			}
		}
	}
	if count < 20 {
		t.Errorf("docs/PROOFS.md names only %d tests", count)
	}
}

// declares reports whether a test file of the folder contains the declaration.
func declares(t *testing.T, folder, declaration string) bool {
	files, err := filepath.Glob(filepath.Join(folder, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(data), declaration) {
			return true
		}
	}
	return false
}
