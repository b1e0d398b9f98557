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

// levelsFile lists each message field and each enum value of the protocol between boxes, with the level that
// introduced it. A line is never changed, since builds of that level decode the field or value as listed.
const levelsFile = "levels.txt"

// TestFieldsAndValuesHaveLevels fails if a field or an enum value is added, removed or changed in wire.proto but not
// in levels.txt.
func TestFieldsAndValuesHaveLevels(t *testing.T) {
	have := protoItems()
	f, err := os.Open(levelsFile)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	listed := map[string]bool{}
	for in := bufio.NewScanner(f); in.Scan(); {
		item, level, ok := strings.Cut(in.Text(), " since ")
		if !ok || level == "" {
			t.Errorf("%s: line %q has no level", levelsFile, in.Text())
		}
		listed[item] = true
	}
	for _, item := range have {
		if !listed[item] {
			t.Errorf("%s lacks %q: add it with the level that introduces it", levelsFile, item)
		}
		delete(listed, item)
	}
	for item := range listed {
		t.Errorf("%s has %q, which wire.proto does not have", levelsFile, item)
	}
}

// protoItems lists the fields of all messages and the values of all enums in the format of levels.txt, without levels.
func protoItems() (list []string) {
	file := wire.File_wire_wire_proto
	for i := range file.Messages().Len() {
		list = append(list, fieldItems(file.Messages().Get(i))...)
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

func fieldItems(m protoreflect.MessageDescriptor) (list []string) {
	for i := range m.Fields().Len() {
		f := m.Fields().Get(i)
		list = append(list, fmt.Sprintf("%s.%s %v %v = %d", m.Name(), f.Name(), f.Cardinality(), f.Kind(), f.Number()))
	}
	for i := range m.Messages().Len() {
		list = append(list, fieldItems(m.Messages().Get(i))...)
	}
	return list
}

// TestMain first adds unlisted fields and values to levels.txt if WRITE_LEVELS is set, which gives their level.
func TestMain(m *testing.M) {
	if level := os.Getenv("WRITE_LEVELS"); level != "" {
		addUnlisted(level)
	}
	os.Exit(m.Run())
}

func addUnlisted(level string) {
	old, _ := os.ReadFile(levelsFile) // the file may not exist yet
	f, err := os.OpenFile(levelsFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		panic(err)
	}
	defer f.Close()
	for _, item := range protoItems() {
		if !strings.Contains(string(old), item+" since ") {
			fmt.Fprintf(f, "%s since %s\n", item, level)
		}
	}
}
