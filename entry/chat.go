package entry

import (
	"encoding/json"
	"errors"
	"io"
	"maps"
	"math/bits"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"leverdrum/engine"
	"leverdrum/proxy"
	"leverdrum/reason"
	"leverdrum/route"
	"leverdrum/workspace"
)

// chatHead holds the fields of a chat request that routing needs.
type chatHead struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	// Messages are hashed, in raw form, to identify the session.
	Messages []json.RawMessage `json:"messages"`
}

// sessionMessages is the number of leading messages that identify a session: usually the system
// message and the caller's first one, which every later turn repeats.
const sessionMessages = 2

// session returns a hash that is the same in all turns of a session. It covers the session name if the
// caller sends one, else the first messages. 0 means no session.
func (h *chatHead) session(name string) uint64 {
	if name == "" && len(h.Messages) == 0 {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(h.Model + "\n" + name) // a hash write never fails
	if name == "" {
		for _, m := range h.Messages[:min(len(h.Messages), sessionMessages)] {
			_, _ = d.Write(m)
		}
	}
	return d.Sum64()
}

// kind returns the group of requests with a similar time to the first byte of the answer.
func (h *chatHead) kind() callKind {
	if h.Stream {
		return callKind{target: h.Model}
	}
	return callKind{target: h.Model, method: http.MethodPost, size: bits.Len(uint(max(0, h.MaxTokens)))}
}

// chat serves POST /v1/chat/completions.
func (e *Entry) chat(w http.ResponseWriter, r *http.Request) {
	a, ok := e.receive(w, r)
	if !ok {
		return
	}
	var head chatHead
	if err := json.Unmarshal(a.body, &head); err != nil || head.Model == "" {
		e.refuse(w, a.id, reason.BadRequest, "the body must be a JSON object with the key model")
		return
	}
	target := a.table.Models[head.Model]
	if target == nil {
		e.refuse(w, a.id, reason.UnknownModel, head.Model)
		return
	}
	if len(target.Backends) == 0 {
		e.recordDemand(target, 0)
		e.refuse(w, a.id, reason.NotResident, head.Model)
		return
	}
	// The caller's header is removed: only the box knows which version of the weights began a stream,
	// so only the box may resume one.
	r.Header.Del(engine.HeaderLastEvent)
	e.serve(w, r, &job{
		id: a.id, receivedAt: a.receivedAt, owner: a.owner, usage: usageOf(r, head.MaxTokens), target: target, repeatable: true, kind: head.kind(), stream: head.Stream, session: head.session(r.Header.Get(HeaderSession)),
		attempt: proxy.Attempt{Method: http.MethodPost, Path: engine.ChatPath, Header: r.Header, Body: a.body},
	})
}

// receivedRequest is a request whose body was read completely, with the routing table to use.
type receivedRequest struct {
	id         string
	receivedAt time.Time
	body       []byte
	table      *route.Table
	owner      *workspace.Workspace // nil: no workspace
}

// receive authorizes and reads a request, or refuses it. A request without a required key is refused
// before its body is read.
func (e *Entry) receive(w http.ResponseWriter, r *http.Request) (*receivedRequest, bool) {
	a := &receivedRequest{id: requestID(r), receivedAt: time.Now()}
	why := e.authorize(r, a)
	if why == nil {
		a.body, why = e.readBody(w, r)
	}
	if why != nil {
		e.refuse(w, a.id, why, "")
		return nil, false
	}
	setWorkspaceHeader(r, a.owner)
	return a, true
}

// authorize sets the routing table and the workspace of a request, or returns why it is refused.
func (e *Entry) authorize(r *http.Request, a *receivedRequest) (why *reason.Reason) {
	if a.table, why = e.routingTable(); why != nil {
		return why
	}
	owner, ok := e.opts.View().Fleet.Workspaces.Authorize(presentedKeys(r), false)
	if !ok {
		return reason.NoAccess
	}
	a.owner = owner
	return nil
}

// readBody reads the whole body, because a retry needs it. The read deadline is set here instead of by
// the server's ReadTimeout, which would also cut off long answers.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *reason.Reason) {
	control := http.NewResponseController(w)
	if e.opts.BodyTimeout > 0 {
		// The error is ignored: only writers in tests don't support deadlines.
		_ = control.SetReadDeadline(time.Now().Add(e.opts.BodyTimeout))
	}
	stopWatching := e.opts.Shutdown.InterruptReads(w)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.opts.MaxBody))
	stopWatching()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, reason.BodyTooLarge
	case err != nil:
		// The deadline stays in place: the HTTP server still reads the rest of the body before it
		// closes the connection.
		w.Header().Set("Connection", "close")
		if e.opts.Shutdown.Ended() {
			return nil, reason.Stopping
		}
		return nil, reason.BadRequest
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// modelInfo describes one model in the answer of GET /v1/models.
type modelInfo struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
	Ready  int    `json:"ready_copies"`
}

// models serves GET /v1/models.
func (e *Entry) models(w http.ResponseWriter, r *http.Request) {
	table, why := e.routingTable()
	if why != nil {
		e.refuse(w, requestID(r), why, "")
		return
	}
	if _, ok := e.opts.View().Fleet.Workspaces.Authorize(presentedKeys(r), false); !ok {
		e.refuse(w, requestID(r), reason.NoAccess, "")
		return
	}
	rows := []modelInfo{}
	for _, name := range slices.Sorted(maps.Keys(table.Models)) {
		rows = append(rows, modelInfo{name, "model", "leverdrum", len(table.Models[name].Backends)})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"object": "list", "data": rows})
}

// service serves all paths below /services/NAME/.
func (e *Entry) service(w http.ResponseWriter, r *http.Request) {
	a, ok := e.receive(w, r)
	if !ok {
		return
	}
	name := chi.URLParam(r, "service")
	target := a.table.Services[name]
	if target == nil {
		e.refuse(w, a.id, reason.UnknownService, name)
		return
	}
	path := strings.TrimPrefix(r.URL.Path, "/services/"+name)
	uri := strings.TrimPrefix(r.URL.RequestURI(), "/services/"+name)
	j := &job{
		id: a.id, receivedAt: a.receivedAt, owner: a.owner, usage: usageOf(r, 0), target: target, repeatable: target.Service.Repeatable(r.Method, path),
		kind:    callKind{"/" + name, r.Method, bits.Len(uint(len(a.body)))},
		attempt: proxy.Attempt{Method: r.Method, Path: uri, Header: r.Header, Body: a.body},
	}
	j.key = claimKey(r, j)
	e.serve(w, r, j)
}
