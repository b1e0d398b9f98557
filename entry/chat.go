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

// chatHead is what routing needs of a chat request.
type chatHead struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	// Messages are read as far as they tell the session.
	Messages []json.RawMessage `json:"messages"`
}

// sessionMessages is how many messages tell sessions apart: mostly the system's
// and the caller's first, which stand in all later turns too.
const sessionMessages = 2

// session returns the hash of what stays the same in all turns of a session: its
// name if the caller gives one, else its first messages. 0 means none.
func (h *chatHead) session(name string) uint64 {
	if name == "" && len(h.Messages) == 0 {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(h.Model + "\n" + name) // a hash takes everything
	if name == "" {
		for _, m := range h.Messages[:min(len(h.Messages), sessionMessages)] {
			_, _ = d.Write(m)
		}
	}
	return d.Sum64()
}

// kind groups the request with others that take about as long to begin.
func (h *chatHead) kind() kindOfCall {
	if h.Stream {
		return kindOfCall{target: h.Model}
	}
	return kindOfCall{target: h.Model, method: http.MethodPost, size: bits.Len(uint(max(0, h.MaxTokens)))}
}

// chat serves POST /v1/chat/completions.
func (e *Entry) chat(w http.ResponseWriter, r *http.Request) {
	a, ok := e.arrive(w, r)
	if !ok {
		return
	}
	var head chatHead
	if err := json.Unmarshal(a.body, &head); err != nil || head.Model == "" {
		e.refuse(w, a.id, reason.BadRequest, "a JSON object with the key model is needed")
		return
	}
	target := a.table.Models[head.Model]
	if target == nil {
		e.refuse(w, a.id, reason.UnknownModel, head.Model)
		return
	}
	if len(target.Backends) == 0 {
		e.noteDemand(target, 0)
		e.refuse(w, a.id, reason.NotResident, head.Model)
		return
	}
	// Only the box knows by which version a stream began, so only it continues one.
	r.Header.Del(engine.HeaderLastEvent)
	e.serve(w, r, &job{
		id: a.id, arrived: a.at, owner: a.owner, usage: usageOf(r, head.MaxTokens), target: target, repeatable: true, kind: head.kind(), stream: head.Stream, session: head.session(r.Header.Get(HeaderSession)),
		attempt: proxy.Attempt{Method: http.MethodPost, Path: engine.ChatPath, Header: r.Header, Body: a.body},
	})
}

// arrival is a request that was read whole while this box may serve.
type arrival struct {
	id    string
	at    time.Time
	body  []byte
	table *route.Table
	owner *workspace.Workspace // nil: nobody's
}

// arrive reads a request, or refuses it: one without a key that it needs before its body is read.
func (e *Entry) arrive(w http.ResponseWriter, r *http.Request) (*arrival, bool) {
	a := &arrival{id: requestID(r), at: time.Now()}
	why := e.admit(r, a)
	if why == nil {
		a.body, why = e.readBody(w, r)
	}
	if why != nil {
		e.refuse(w, a.id, why, "")
		return nil, false
	}
	nameOwner(r, a.owner)
	return a, true
}

// admit finds the table and the workspace of a request.
func (e *Entry) admit(r *http.Request, a *arrival) (why *reason.Reason) {
	if a.table, why = e.usable(); why != nil {
		return why
	}
	owner, ok := e.opts.View().Fleet.Workspaces.Authorize(keysOf(r), false)
	if !ok {
		return reason.NoAccess
	}
	a.owner = owner
	return nil
}

// readBody reads the whole body, which a retry needs. Its time is bounded here
// and not by the server's ReadTimeout, which would end long answers too.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *reason.Reason) {
	control := http.NewResponseController(w)
	if e.opts.BodyTimeout > 0 {
		// A writer that knows no deadlines is a test's.
		_ = control.SetReadDeadline(time.Now().Add(e.opts.BodyTimeout))
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.opts.MaxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, reason.BodyTooLarge
	case err != nil:
		// The deadline stays: the server itself still waits for the rest of the
		// body before it closes the connection.
		w.Header().Set("Connection", "close")
		return nil, reason.BadRequest
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// modelRow is one model in the answer of GET /v1/models.
type modelRow struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
	Ready  int    `json:"ready_copies"`
}

// models serves GET /v1/models.
func (e *Entry) models(w http.ResponseWriter, r *http.Request) {
	table, why := e.usable()
	if why != nil {
		e.refuse(w, requestID(r), why, "")
		return
	}
	if _, ok := e.opts.View().Fleet.Workspaces.Authorize(keysOf(r), false); !ok {
		e.refuse(w, requestID(r), reason.NoAccess, "")
		return
	}
	rows := []modelRow{}
	for _, name := range slices.Sorted(maps.Keys(table.Models)) {
		rows = append(rows, modelRow{name, "model", "leverdrum", len(table.Models[name].Backends)})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"object": "list", "data": rows})
}

// service serves everything under /services/NAME/.
func (e *Entry) service(w http.ResponseWriter, r *http.Request) {
	a, ok := e.arrive(w, r)
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
		id: a.id, arrived: a.at, owner: a.owner, usage: usageOf(r, 0), target: target, repeatable: target.Service.Repeatable(r.Method, path),
		kind:    kindOfCall{"/" + name, r.Method, bits.Len(uint(len(a.body)))},
		attempt: proxy.Attempt{Method: r.Method, Path: uri, Header: r.Header, Body: a.body},
	}
	j.key = keyOf(r, j)
	e.serve(w, r, j)
}
