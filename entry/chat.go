package entry

import (
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"leverdrum/engine"
	"leverdrum/proxy"
	"leverdrum/reason"
)

// chatHead is what routing needs of a chat request.
type chatHead struct {
	Model string `json:"model"`
}

// chat serves POST /v1/chat/completions.
func (e *Entry) chat(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := requestID(r)
	body, why := e.readBody(w, r)
	if why != nil {
		e.refuse(w, id, why, "")
		return
	}
	var head chatHead
	if err := json.Unmarshal(body, &head); err != nil || head.Model == "" {
		e.refuse(w, id, reason.BadRequest, "a JSON object with the key model is needed")
		return
	}
	table, why := e.usable()
	if why != nil {
		e.refuse(w, id, why, "")
		return
	}
	target := table.Models[head.Model]
	if target == nil {
		e.refuse(w, id, reason.UnknownModel, head.Model)
		return
	}
	if len(target.Backends) == 0 {
		e.noteDemand(target, 0)
		e.refuse(w, id, reason.NotResident, head.Model)
		return
	}
	e.serve(w, r, &job{
		id: id, arrived: arrived, target: target, repeatable: true,
		attempt: proxy.Attempt{Method: http.MethodPost, Path: engine.ChatPath, Header: r.Header, Body: body},
	})
}

// readBody reads the whole body, which a retry needs.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *reason.Reason) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.opts.MaxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, reason.BodyTooLarge
	case err != nil:
		return nil, reason.BadRequest
	}
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
	rows := []modelRow{}
	for _, name := range slices.Sorted(maps.Keys(table.Models)) {
		rows = append(rows, modelRow{name, "model", "leverdrum", len(table.Models[name].Backends)})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"object": "list", "data": rows})
}

// service serves everything under /services/NAME/.
func (e *Entry) service(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := requestID(r)
	body, why := e.readBody(w, r)
	if why != nil {
		e.refuse(w, id, why, "")
		return
	}
	table, why := e.usable()
	if why != nil {
		e.refuse(w, id, why, "")
		return
	}
	name := chi.URLParam(r, "service")
	target := table.Services[name]
	if target == nil {
		e.refuse(w, id, reason.UnknownService, name)
		return
	}
	path := strings.TrimPrefix(r.URL.Path, "/services/"+name)
	uri := strings.TrimPrefix(r.URL.RequestURI(), "/services/"+name)
	j := &job{
		id: id, arrived: arrived, target: target, repeatable: target.Service.Repeatable(r.Method, path),
		attempt: proxy.Attempt{Method: r.Method, Path: uri, Header: r.Header, Body: body},
	}
	j.key = keyOf(r, j)
	e.serve(w, r, j)
}
