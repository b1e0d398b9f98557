package e2e

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	proofTest   = regexp.MustCompile("`([a-z0-9]+)` ((?:Test|Benchmark)[A-Za-z0-9]+)")
	proofBench  = regexp.MustCompile(`benchmark ([A-Z][A-Za-z0-9]+)`)
	proofMutant = regexp.MustCompile(`mutants? ([a-z0-9, -]+)`)
)

// TestProofsNameRealTests keeps docs/PROOFS.md true: each test, benchmark and
// mutant that it names exists.
func TestProofsNameRealTests(t *testing.T) {
	page, err := os.ReadFile("../docs/PROOFS.md")
	if err != nil {
		t.Fatal(err)
	}
	mutants, err := os.ReadFile("../scripts/mutants.sh")
	if err != nil {
		t.Fatal(err)
	}
	named := 0
	for _, m := range proofTest.FindAllStringSubmatch(string(page), -1) {
		named++
		if !holds(t, filepath.Join("..", m[1]), "func "+m[2]+"(") {
			t.Errorf("package %s has no %s", m[1], m[2])
		}
	}
	for _, m := range proofBench.FindAllStringSubmatch(string(page), -1) {
		if !holds(t, "../bench", "func Benchmark"+m[1]+"(") && !holds(t, ".", "func Benchmark"+m[1]+"(") {
			t.Errorf("there is no benchmark %s", m[1])
		}
	}
	for _, m := range proofMutant.FindAllStringSubmatch(string(page), -1) {
		for name := range strings.SplitSeq(m[1], ",") {
			if name = strings.TrimSpace(name); strings.Contains(name, "-") && !strings.Contains(string(mutants), "mutant "+name+" ") {
				t.Errorf("scripts/mutants.sh has no %q", name)
			}
		}
	}
	if named < 20 {
		t.Errorf("only %d tests are named", named)
	}
}

// holds reports whether a test file of the folder holds the text.
func holds(t *testing.T, folder, text string) bool {
	files, err := filepath.Glob(filepath.Join(folder, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(data), text) {
			return true
		}
	}
	return false
}
