// Package responsehead decides what is a response: it checks the heads of HTTP/1.x responses, byte by byte, before net/http
// parses them. Parsers that accept more than the grammar disagree about where a response ends, and take bytes for a response
// that are none.
//
// Rules:
//
//  1. The version is HTTP/1.0 or HTTP/1.1 and the status is 100 to 599, without 101: no request asks for an upgrade.
//  2. Each line ends with CRLF. The name of a field is a token (RFC 9110, section 5.6.2), directly followed by a colon, and
//     its value has no control byte but the tab. A value is not continued on the next line.
//  3. A head has at most one Content-Length, of digits only, or one Transfer-Encoding, which is chunked; never both. A
//     response without a body has neither, but may have a length of 0. HTTP/1.0 has no chunks.
//  4. A head has at most attest.MaxHeadBytes bytes.
//  5. Chunks and trailers are checked only on a Conn. Trailers follow (2), and have no field of (3).
package responsehead

import (
	"net/http"
	"strconv"
	"strings"

	"leverdrum/internal/attest"
)

// Kind is what is wrong with a head.
type Kind string

// Kinds of malformed heads.
const (
	StatusLine       Kind = "status-line"
	Version          Kind = "version"
	Status           Kind = "status"
	LineEnding       Kind = "line-ending"
	FieldName        Kind = "field-name"
	BlankInName      Kind = "blank-in-name"
	FieldValue       Kind = "field-value"
	Folded           Kind = "folded"
	ContentLength    Kind = "content-length"
	TransferEncoding Kind = "transfer-encoding"
	LengthAndChunks  Kind = "length-and-chunks"
	TooLarge         Kind = "too-large"
	Chunk            Kind = "chunk"
	Trailer          Kind = "trailer"
)

// Error is returned for bytes that are no response. It has the kind of the offending line and none of its bytes.
type Error struct{ Kind Kind }

// Error implements error.
func (e *Error) Error() string { return "the response is malformed: " + string(e.Kind) }

// Head checks one head. The zero value expects its first byte.
type Head struct {
	state   headState
	err     *Error
	trailer bool // it is the trailer of a chunked body
	size    int
	status  int
	http10  bool
	field   fieldOfInterest
	text    [maxText]byte // the name of the current field in lower case, then its value if the field is of interest
	used    int           // of text; above maxText if it is longer
	blanks  int           // that follow the value so far
	lengths int
	length  int64
	chunked bool
}

// maxText is the size in bytes of the longest name or value of interest.
const maxText = 20

// maxLengthDigits bounds the digits of a length, so that it fits an int64.
const maxLengthDigits = 18

type headState uint8

const (
	inStatusLine headState = iota
	inReason
	atLineFeed
	atLineStart
	inName
	inValue
	atLastLineFeed
	done
)

type fieldOfInterest uint8

const (
	otherField fieldOfInterest = iota
	lengthField
	encodingField
)

// tokens holds the bytes of tokens, in lower case, and 0 for other bytes.
var tokens = func() (t [256]byte) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz") {
		t[b] = b
	}
	for b := 'A'; b <= 'Z'; b++ {
		t[b] = byte(b) + 'a' - 'A'
	}
	return t
}()

// isText reports which bytes a field value may contain.
var isText = func() (t [256]bool) {
	for b := range t {
		t[b] = b >= ' ' && b != 0x7f || b == '\t'
	}
	return t
}()

// Feed checks the next bytes. It returns the number of those that belong to the head and are well-formed, and whether the head
// has ended. After an error, which is an *Error, each call returns it.
func (h *Head) Feed(b []byte) (n int, ended bool, err error) {
	for n < len(b) && h.state != done && h.err == nil {
		if n += h.skip(b[n:]); n == len(b) {
			break
		}
		if kind := h.step(b[n]); kind != "" {
			h.err = &Error{kind}
			break
		}
		n++
	}
	if h.err != nil {
		return n, false, h.err
	}
	return n, h.state == done, nil
}

// skip checks the bytes of a name or a value at the beginning of b, as step does, but faster. It returns their number.
func (h *Head) skip(b []byte) (n int) {
	b = b[:min(len(b), attest.MaxHeadBytes-h.size)] // (4)
	switch {
	case h.state == inName:
		for n < len(b) && tokens[b[n]] != 0 {
			h.keep(tokens[b[n]])
			n++
		}
	case h.state == inValue && h.field == otherField, h.state == inReason:
		for n < len(b) && isText[b[n]] {
			n++
		}
	}
	h.size += n
	return n
}

// Ended reports whether a whole and well-formed head was read.
func (h *Head) Ended() bool { return h.state == done }

// step returns what is wrong with the next byte, "" if nothing is.
func (h *Head) step(b byte) Kind {
	if h.size++; h.size > attest.MaxHeadBytes { // (4)
		return TooLarge
	}
	switch h.state {
	case inStatusLine:
		return h.statusLine(b)
	case inReason:
		return h.endOrText(b)
	case atLineFeed:
		if b != '\n' {
			return LineEnding
		}
		h.state = atLineStart
	case atLineStart:
		return h.lineStart(b)
	case inName:
		return h.name(b)
	case inValue:
		return h.value(b)
	case atLastLineFeed:
		if b != '\n' {
			return LineEnding
		}
		h.state = done
		return h.framing()
	}
	return ""
}

const (
	versionPrefix = "HTTP/1."
	statusAt      = len("HTTP/1.1 ")
	statusEnd     = statusAt + 3
)

// statusLine checks a byte up to the end of the status (1).
func (h *Head) statusLine(b byte) Kind {
	at := h.size - 1
	switch {
	case at < len(versionPrefix):
		if b != versionPrefix[at] {
			return StatusLine
		}
	case at == len(versionPrefix):
		if b != '0' && b != '1' {
			return Version
		}
		h.http10 = b == '0'
	case at < statusAt:
		if b != ' ' {
			return StatusLine
		}
	case at < statusEnd:
		if b < '0' || b > '9' {
			return Status
		}
		h.status = 10*h.status + int(b-'0')
	case b != ' ' && b != '\r' || !ValidStatus(h.status):
		return Status
	default:
		h.state = inReason
		if b == '\r' {
			h.state = atLineFeed
		}
	}
	return ""
}

// ValidStatus reports whether a response of a server may have a status (1).
func ValidStatus(status int) bool {
	return status >= http.StatusContinue && status < 600 && status != http.StatusSwitchingProtocols
}

// endOrText checks a byte of a text that ends with its line (2).
func (h *Head) endOrText(b byte) Kind {
	switch {
	case b == '\r':
		h.state = atLineFeed
	case b == '\n':
		return LineEnding
	case !isText[b]:
		return FieldValue
	}
	return ""
}

func (h *Head) lineStart(b byte) Kind {
	switch {
	case b == '\r':
		h.state = atLastLineFeed
		return ""
	case b == ' ' || b == '\t':
		return Folded
	}
	h.state, h.used = inName, 0
	if b == ':' {
		return FieldName
	}
	return h.name(b)
}

// name checks a byte of the name of a field, or the colon after it (2).
func (h *Head) name(b byte) Kind {
	switch {
	case b == ':':
		h.state, h.field = inValue, h.fieldOfInterest()
		h.used, h.blanks = 0, 0
		if h.trailer && h.field != otherField { // (5)
			return Trailer
		}
	case b == ' ' || b == '\t':
		return BlankInName
	case tokens[b] == 0:
		return FieldName
	default:
		h.keep(tokens[b])
	}
	return ""
}

func (h *Head) fieldOfInterest() fieldOfInterest {
	if h.used > maxText {
		return otherField
	}
	switch string(h.text[:h.used]) {
	case "content-length":
		return lengthField
	case "transfer-encoding":
		return encodingField
	}
	return otherField
}

func (h *Head) keep(b byte) {
	if h.used < maxText {
		h.text[h.used] = b
	}
	h.used = min(h.used+1, maxText+1)
}

// value checks a byte of the value of a field. Blanks around it are not part of it.
func (h *Head) value(b byte) Kind {
	if kind := h.endOrText(b); kind != "" || h.field == otherField {
		return kind
	}
	switch {
	case b == '\r':
		return h.endOfField()
	case b == ' ' || b == '\t':
		if h.used > 0 {
			h.blanks++
		}
	default:
		for ; h.blanks > 0; h.blanks-- {
			h.keep(' ')
		}
		h.keep(b)
	}
	return ""
}

// endOfField checks a field that determines where the body ends (3).
func (h *Head) endOfField() Kind {
	text := string(h.text[:min(h.used, maxText)])
	if h.field == encodingField {
		if h.chunked || h.used > maxText || !strings.EqualFold(text, "chunked") {
			return TransferEncoding
		}
		h.chunked = true
		return ""
	}
	h.lengths++
	if h.lengths > 1 || h.used == 0 || h.used > maxLengthDigits || strings.Trim(text, "0123456789") != "" {
		return ContentLength
	}
	h.length, _ = strconv.ParseInt(text, 10, 64) // digits that fit
	return ""
}

// framing checks the whole head (3).
func (h *Head) framing() Kind {
	bodyless := !h.trailer && (h.status < http.StatusOK || h.status == http.StatusNoContent)
	switch {
	case h.chunked && h.lengths > 0:
		return LengthAndChunks
	case h.chunked && (h.http10 || bodyless):
		return TransferEncoding
	case bodyless && h.length > 0:
		return ContentLength
	}
	return ""
}

// CheckField returns what is wrong with a field of a response that was not read from a connection; nil if nothing is (2).
func CheckField(name, value string) error {
	for i := range len(name) {
		if tokens[name[i]] == 0 {
			return &Error{FieldName}
		}
	}
	if name == "" {
		return &Error{FieldName}
	}
	for i := range len(value) {
		if !isText[value[i]] {
			return &Error{FieldValue}
		}
	}
	return nil
}
