// Package dialect names the headers that callers, boxes and backend servers speak,
// so that one request path serves several ways of naming them.
package dialect

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"leverdrum/workspace"
)

// Dialect names the headers that requests and answers carry, and reads those that
// have a format.
type Dialect struct {
	RequestID string // of a request and its answer
	Deadline  string // milliseconds left
	LastEvent string // of a stream to go on behind
	Instance  string // the server that a request is for
	ServerID  string // of the server that answers, where it tells
	Rank      string // the request's urgency, 0 the highest
	Stamp     string // of a server's own answer
	NotRun    string // in an answer: the server did not run the request
	Fetch     string // the address of a server that has kept parts of the prompt; "": none fetch
	MaxTokens string // the most tokens that may be produced, where a header of its own says so
	Key       string // of the caller's workspace, never shown to a server
	Workspace string // whose request it is, told to the server; "": servers are not told
	Limit     string // in an answer: the requests a second that its server takes from all boxes together
	Draining  string // in an answer: its server is about to end
	// DrainTTL is how long a server counts as draining after its last answer that says so, where one of its name may start
	// again unnoticed; 0: for its life.
	DrainTTL time.Duration
	// Reserved are further headers by which only the system speaks to a server.
	Reserved []string
	// Prompt reads what a request says of its prompt.
	Prompt func(http.Header) Prompt
	// Usage reads how many tokens a request may take.
	Usage func(http.Header) workspace.Usage
}

// DropReserved takes off a caller's headers by which only the system speaks to a
// server: the server that it is for, its urgency, where to fetch kept parts, whose it is, and those
// reserved besides. Passed on, they would let a caller take memory and places that others
// need, or have its request turned away by a server that could run it.
func (d *Dialect) DropReserved(h http.Header) {
	for _, name := range []string{d.Instance, d.Rank, d.Fetch, d.Workspace} {
		h.Del(name)
	}
	for _, name := range d.Reserved {
		h.Del(name)
	}
}

// Prompt is what a request says of the work that it is.
type Prompt struct {
	Model   string // "" when the request is for no model
	Adapter string // without the model, "" for none
	Tokens  int    // of the prompt
	Parts   []Part
}

// Part is one part of a prompt, in order; equal ids are equal parts.
type Part struct {
	ID     uint64
	Tokens int
}

// ownDrainTTL is longer than a planned stop of a server takes.
const ownDrainTTL = 30 * time.Second

const headerMaxTokens = "X-Max-Tokens"

// Native is the product's own dialect.
var Native = Dialect{
	RequestID: "X-Request-Id", Deadline: "X-Deadline-Ms", LastEvent: "Last-Event-Id", Instance: "X-Instance", ServerID: "X-Server-Id",
	Rank: "X-Rank", Stamp: "X-Server-Stamp", NotRun: "X-Not-Run", Key: "X-Api-Key", Workspace: "X-Workspace", Limit: "X-Server-Limit",
	Draining: "X-Server-Draining", DrainTTL: ownDrainTTL,
	MaxTokens: headerMaxTokens, Prompt: ownPrompt, Usage: ownUsage,
}

// ownPrompt reads "X-Model: model/adapter" and "X-Prompt-Tokens: 120".
func ownPrompt(h http.Header) Prompt {
	p := Prompt{}
	p.Model, p.Adapter, _ = strings.Cut(h.Get("X-Model"), "/")
	p.Tokens, _ = strconv.Atoi(h.Get("X-Prompt-Tokens"))
	return p
}

// ownUsage reads "X-Prompt-Tokens: 120" and "X-Max-Tokens: 80", either of which may lack.
func ownUsage(h http.Header) workspace.Usage {
	in, inErr := strconv.ParseFloat(h.Get("X-Prompt-Tokens"), 64)
	out, outErr := strconv.ParseFloat(h.Get(headerMaxTokens), 64)
	if inErr != nil && outErr != nil {
		return workspace.Usage{}
	}
	return workspace.NewUsage(in, out)
}
