// Package framing determines where the body of an HTTP/1.x response ends.
//
// Rules:
//
//  1. A response is delimited if its head determines where the body ends: by a length, by chunks, or because it
//     has no body. Any other response ends with its connection (RFC 9112, section 6.3).
//  2. The body of a delimited response that was read to its end is complete. The end of an undelimited one is
//     unknown: a server that crashes closes the connection, too.
package framing

import "net/http"

// End is how the body of a response ended.
type End int

// Ends of a response.
const (
	// Pending is the end of a response that was not read to its end.
	Pending End = iota
	// Complete is the end of a response that has arrived in full.
	Complete
	// Unknown is the end of a response that ended with its connection and may have been truncated.
	Unknown
	// Truncated is the end of a response of which a part is missing.
	Truncated
)

// String returns the name of the end in logs and metrics.
func (e End) String() string {
	return [...]string{"pending", "complete", "unknown", "truncated"}[e]
}

// Delimited reports whether the head of a response to a request with this method determines where its body ends (1).
func Delimited(method string, r *http.Response) bool {
	return !bodyAllowed(method, r.StatusCode) || r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// EndOf returns the end of a body that was read without an error to io.EOF (2).
func EndOf(delimited bool) End {
	if delimited {
		return Complete
	}
	return Unknown
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
