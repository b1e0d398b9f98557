package wire_test

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"

	"leverdrum/wire"
)

// levelsFile lists each field and each value of what boxes say to each other, with the level that brought it. A line
// is never changed: a build of that level reads it so.
const levelsFile = "levels.txt"

// TestEachFieldHasItsLevel fails where the proto gains, loses or changes what levels.txt does not have so.
func TestEachFieldHasItsLevel(t *testing.T) {
	have := described()
	f, err := os.Open(levelsFile)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	listed := map[string]bool{}
	for in := bufio.NewScanner(f); in.Scan(); {
		item, level, ok := strings.Cut(in.Text(), " since ")
		if !ok || level == "" {
			t.Errorf("%s: %q names no level", levelsFile, in.Text())
		}
		listed[item] = true
	}
	for _, item := range have {
		if !listed[item] {
			t.Errorf("%s lacks %q: add it with the level that brings it", levelsFile, item)
		}
		delete(listed, item)
	}
	for item := range listed {
		t.Errorf("%s has %q, which the proto has no more", levelsFile, item)
	}
}

// described lists the fields and the values of all messages and enums.
func described() (list []string) {
	file := wire.File_wire_wire_proto
	for i := range file.Messages().Len() {
		list = append(list, fieldsOf(file.Messages().Get(i))...)
	}
	for i := range file.Enums().Len() {
		e := file.Enums().Get(i)
		for j := range e.Values().Len() {
			v := e.Values().Get(j)
			list = append(list, fmt.Sprintf("%s = %d", v.Name(), v.Number()))
		}
	}
	slices.Sort(list)
	return list
}

func fieldsOf(m protoreflect.MessageDescriptor) (list []string) {
	for i := range m.Fields().Len() {
		f := m.Fields().Get(i)
		list = append(list, fmt.Sprintf("%s.%s %v %v = %d", m.Name(), f.Name(), f.Cardinality(), f.Kind(), f.Number()))
	}
	for i := range m.Messages().Len() {
		list = append(list, fieldsOf(m.Messages().Get(i))...)
	}
	return list
}

// TestMain writes the list where WRITE_LEVELS names the level of what is new in it.
func TestMain(m *testing.M) {
	if level := os.Getenv("WRITE_LEVELS"); level != "" {
		writeLevels(level)
	}
	os.Exit(m.Run())
}

func writeLevels(level string) {
	old, _ := os.ReadFile(levelsFile) // none at first
	f, err := os.OpenFile(levelsFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		panic(err)
	}
	defer f.Close()
	for _, item := range described() {
		if !strings.Contains(string(old), item+" since ") {
			fmt.Fprintf(f, "%s since %s\n", item, level)
		}
	}
}
