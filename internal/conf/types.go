package conf

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
)

// Type is the type of a value, which determines its syntax.
type Type int

// Value types.
const (
	// Text is any text on one line.
	Text Type = iota
	// Name consists of letters, digits and . _ -
	Name
	// Names is a list of names, separated by commas.
	Names
	// Address is an IP number and a port.
	Address
	// Addresses is a list of name=address, separated by commas.
	Addresses
	// Duration is a number with a unit, such as 250ms.
	Duration
	// Bytes is a number with a unit, such as 14GiB.
	Bytes
	// Int is an integer.
	Int
	// Float is a number.
	Float
	// Bool is true or false.
	Bool
	// Choice is one of the key's choices.
	Choice
	// Choices is a list of the key's choices, separated by commas.
	Choices
	// Texts is a list of arbitrary strings, separated by commas.
	Texts
)

var typeDescriptions = map[Type]string{
	Text:      "text",
	Name:      "letters, digits and . _ -",
	Names:     "names, separated by commas",
	Address:   "IP number:port",
	Addresses: "name=IP number:port, separated by commas",
	Duration:  "a duration such as 250ms or 2s",
	Bytes:     "bytes with a unit, such as 14GiB",
	Int:       "an integer",
	Float:     "a number",
	Bool:      "true or false",
	Texts:     "texts, separated by commas",
}

const maxNameLength = 128

// ValidName reports whether s is a valid name of a box, hall, model or other named item.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for _, c := range s {
		ok := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.ContainsRune("._-", c)
		if !ok {
			return false
		}
	}
	return true
}

func (k Key) allowedText() string {
	switch {
	case k.Type == Choice:
		return "one of " + strings.Join(k.Choices, ", ")
	case k.Type == Choices:
		return "of " + strings.Join(k.Choices, ", ")
	case k.isNumeric():
		return fmt.Sprintf("%s, at least %v", typeDescriptions[k.Type], k.Min)
	}
	return typeDescriptions[k.Type]
}

func (k Key) isNumeric() bool { return k.Type == Int || k.Type == Float }

func (k Key) zeroValue() any {
	switch k.Type {
	case Names, Addresses, Choices, Texts:
		return []string(nil)
	case Duration:
		return time.Duration(0)
	case Bytes:
		return uint64(0)
	case Int:
		return 0
	case Float:
		return 0.0
	case Bool:
		return false
	}
	return ""
}

func (k Key) parse(text string) (any, error) {
	switch k.Type {
	case Name:
		return text, check(ValidName(text), "is not a valid name")
	case Address:
		return text, parseAddress(text)
	case Choice:
		return text, check(slices.Contains(k.Choices, text), "is unknown")
	case Names, Choices, Addresses, Texts:
		return k.parseList(text)
	case Duration:
		d, err := time.ParseDuration(text)
		return d, check(err == nil && d >= 0, "is not a duration")
	case Bytes:
		n, err := humanize.ParseBytes(text)
		return n, check(err == nil, "is not a size")
	case Int:
		n, err := strconv.Atoi(text)
		return n, check(err == nil && float64(n) >= k.Min, "is out of range")
	case Float:
		f, err := strconv.ParseFloat(text, 64)
		return f, check(err == nil && f >= k.Min && f < 1e18, "is out of range")
	case Bool:
		b, err := strconv.ParseBool(text)
		return b, check(err == nil, "is neither true nor false")
	}
	return text, nil
}

func (k Key) parseList(text string) ([]string, error) {
	var list []string
	for item := range strings.SplitSeq(text, ",") {
		item = strings.TrimSpace(item)
		if item == "" {
			continue
		}
		if slices.Contains(list, item) {
			return nil, fmt.Errorf("lists %q twice", item)
		}
		if err := k.checkItem(item); err != nil {
			return nil, err
		}
		list = append(list, item)
	}
	return list, nil
}

func (k Key) checkItem(item string) error {
	switch k.Type {
	case Names:
		return check(ValidName(item), "has an item that is not a valid name")
	case Choices:
		return check(slices.Contains(k.Choices, item), "has an unknown item")
	case Addresses:
		name, address, ok := strings.Cut(item, "=")
		if !ok || !ValidName(name) {
			return errors.New("has an item that is not of the form name=address")
		}
		return parseAddress(address)
	}
	return nil
}

// parseAddress accepts only IP numbers, since boxes do not resolve host names.
func parseAddress(text string) error {
	a, err := netip.ParseAddrPort(text)
	return check(err == nil && a.IsValid(), "is not an IP number with a port")
}

func check(ok bool, problem string) error {
	if ok {
		return nil
	}
	return errors.New(problem)
}
