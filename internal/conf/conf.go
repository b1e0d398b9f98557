// Package conf reads and validates INI files against a schema of sections and
// keys, and reports all faults of a file in one run.
//
// The schema is data: the same entries validate a file and generate its
// documentation page.
package conf

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Key describes one setting.
type Key struct {
	// Name is the key as written in the file.
	Name string
	// Type determines how the value is parsed.
	Type Type
	// Description explains the setting to operators.
	Description string
	// Default is the value if the key is not set.
	Default string
	// Required keys have no default.
	Required bool
	// Choices are the allowed values of the types Choice and Choices.
	Choices []string
	// Min is the minimum value for the numeric types.
	Min float64
}

// Section describes one kind of section. A section of a named kind is written
// "[kind name]" and may occur any number of times.
type Section struct {
	Kind        string
	Description string
	// Named sections have a name.
	Named bool
	// Required sections must be present in the file.
	Required bool
	Keys     []Key
}

// Fault is one error in a file.
type Fault struct {
	File    string `json:"file"`
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	Problem string `json:"problem"`
	Allowed string `json:"allowed,omitempty"`
}

// String formats the fault on one line.
func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Section != "" {
		fmt.Fprintf(&b, ": [%s]", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, " %s", f.Key)
	}
	fmt.Fprintf(&b, ": %s", f.Problem)
	if f.Allowed != "" {
		fmt.Fprintf(&b, " (allowed: %s)", f.Allowed)
	}
	return b.String()
}

// Faults is a list of faults that implements error.
type Faults []Fault

// Error lists the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Document is a parsed file with the faults found so far.
type Document struct {
	file     string
	sections []*SectionValues
	faults   Faults
}

// SectionValues holds the values of one section of a document.
type SectionValues struct {
	// Name is the section's name, "" for kinds that are not named.
	Name string

	doc     *Document
	kind    Section
	title   string
	values  map[string]any
	present map[string]bool
}

// MaxBytes is the maximum size of a file.
const MaxBytes = 4 << 20

// Read parses data and validates it against the schema. It always returns a
// document, whose Faults lists the errors.
func Read(file string, data []byte, schema []Section) *Document {
	d := &Document{file: file}
	if len(data) > MaxBytes {
		d.addFault("", "", fmt.Sprintf("the file has %d bytes", len(data)), fmt.Sprintf("up to %d", MaxBytes))
		return d
	}
	if bytes.IndexByte(data, 0) >= 0 {
		d.addFault("", "", "the file contains a zero byte", "text in UTF-8")
		return d
	}
	raw, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		SkipUnrecognizableLines:    false,
		IgnoreInlineComment:        true,
		UnescapeValueDoubleQuotes:  false,
		AllowDuplicateShadowValues: true,
	}, data)
	if err != nil {
		d.addFault("", "", err.Error(), "sections, keys and values in INI format")
		return d
	}
	for _, s := range raw.Sections() {
		d.readSection(s, schema)
	}
	d.addMissing(schema)
	return d
}

func (d *Document) addFault(section, key, problem, allowed string) {
	d.faults = append(d.faults, Fault{d.file, section, key, problem, allowed})
}

// Faults returns all faults, or nil if there are none.
func (d *Document) Faults() Faults { return d.faults }

// AddFault adds a fault that the caller found in a key of the section.
func (p *SectionValues) AddFault(key, problem, allowed string) {
	p.doc.addFault(p.title, key, problem, allowed)
}

// AddFault adds a fault of the document as a whole.
func (d *Document) AddFault(problem, allowed string) { d.addFault("", "", problem, allowed) }

func (d *Document) readSection(s *ini.Section, schema []Section) {
	title := s.Name()
	if title == ini.DefaultSection {
		if len(s.Keys()) > 0 {
			d.addFault("", s.Keys()[0].Name(), "a key before the first section", "keys inside a section")
		}
		return
	}
	kindName, name, _ := strings.Cut(title, " ")
	i := slices.IndexFunc(schema, func(k Section) bool { return k.Kind == kindName })
	if i < 0 {
		d.addFault(title, "", "unknown section", kindNames(schema))
		return
	}
	kind := schema[i]
	name = strings.TrimSpace(name)
	if kind.Named && !ValidName(name) {
		d.addFault(title, "", "the section requires a name", kind.Kind+" NAME, where NAME has letters, digits and . _ -")
		return
	}
	if !kind.Named && name != "" {
		d.addFault(title, "", "the section takes no name", "["+kind.Kind+"]")
		return
	}
	if slices.ContainsFunc(d.sections, func(p *SectionValues) bool { return p.kind.Kind == kind.Kind && p.Name == name }) {
		d.addFault(title, "", "the section occurs twice", "once")
		return
	}
	d.sections = append(d.sections, d.readKeys(s, kind, title, name))
}

func (d *Document) readKeys(s *ini.Section, kind Section, title, name string) *SectionValues {
	p := &SectionValues{Name: name, doc: d, kind: kind, title: title, values: map[string]any{}, present: map[string]bool{}}
	for _, k := range s.Keys() {
		i := slices.IndexFunc(kind.Keys, func(x Key) bool { return x.Name == k.Name() })
		if i < 0 {
			d.addFault(title, k.Name(), "unknown key", keyNames(kind))
			continue
		}
		p.present[k.Name()] = true
		if len(k.ValueWithShadows()) > 1 {
			d.addFault(title, k.Name(), "the key occurs twice", "once")
			continue
		}
		p.readKey(kind.Keys[i], k.String())
	}
	for _, k := range kind.Keys {
		if p.present[k.Name] {
			continue
		}
		if k.Required {
			d.addFault(title, k.Name, "the key is missing", k.allowedText())
			continue
		}
		p.readKey(k, k.Default)
	}
	return p
}

func (p *SectionValues) readKey(k Key, text string) {
	if text == "" && !k.Required {
		p.values[k.Name] = k.zeroValue()
		return
	}
	v, err := k.parse(text)
	if err != nil {
		p.AddFault(k.Name, fmt.Sprintf("%q %s", text, err), k.allowedText())
		return
	}
	p.values[k.Name] = v
}

func (d *Document) addMissing(schema []Section) {
	for _, k := range schema {
		found := slices.ContainsFunc(d.sections, func(p *SectionValues) bool { return p.kind.Kind == k.Kind })
		if found || k.Named {
			continue
		}
		if k.Required {
			d.addFault(k.Kind, "", "the section is missing", "")
			continue
		}
		d.sections = append(d.sections, d.defaultSection(k))
	}
}

// defaultSection returns the default values of an optional section that the file omits.
func (d *Document) defaultSection(k Section) *SectionValues {
	p := &SectionValues{doc: d, kind: k, title: k.Kind, values: map[string]any{}, present: map[string]bool{}}
	for _, key := range k.Keys {
		if !key.Required {
			p.readKey(key, key.Default)
		}
	}
	return p
}

// Sections returns the sections of a kind in file order.
func (d *Document) Sections(kind string) []*SectionValues {
	var list []*SectionValues
	for _, p := range d.sections {
		if p.kind.Kind == kind {
			list = append(list, p)
		}
	}
	return list
}

// Section returns the section of a kind that is not named. It returns empty values
// for a required section that is missing, whose fault has been added already.
func (d *Document) Section(kind string) *SectionValues {
	if list := d.Sections(kind); len(list) > 0 {
		return list[0]
	}
	return &SectionValues{doc: d, title: kind, values: map[string]any{}, present: map[string]bool{}}
}

// IsSet reports whether the file sets the key.
func (p *SectionValues) IsSet(key string) bool { return p.present[key] }

func get[T any](p *SectionValues, key string) T {
	v, _ := p.values[key].(T)
	return v
}

// String returns the value of a Text, Name, Address or Choice key.
func (p *SectionValues) String(key string) string { return get[string](p, key) }

// List returns the value of a key with a list type.
func (p *SectionValues) List(key string) []string { return get[[]string](p, key) }

// Duration returns the value of a Duration key.
func (p *SectionValues) Duration(key string) time.Duration { return get[time.Duration](p, key) }

// Int returns the value of an Int key.
func (p *SectionValues) Int(key string) int { return get[int](p, key) }

// Float returns the value of a Float key.
func (p *SectionValues) Float(key string) float64 { return get[float64](p, key) }

// Bytes returns the value of a Bytes key.
func (p *SectionValues) Bytes(key string) uint64 { return get[uint64](p, key) }

// Bool returns the value of a Bool key.
func (p *SectionValues) Bool(key string) bool { return get[bool](p, key) }

func kindNames(schema []Section) string {
	var names []string
	for _, s := range schema {
		names = append(names, s.Kind)
	}
	return strings.Join(names, ", ")
}

func keyNames(s Section) string {
	var names []string
	for _, k := range s.Keys {
		names = append(names, k.Name)
	}
	return strings.Join(names, ", ")
}
