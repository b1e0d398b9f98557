package admin

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"leverdrum/state"
	"leverdrum/wire"
)

// EvacuationRow is an evacuated data hall: nothing is sent to its backend servers.
type EvacuationRow struct {
	Hall  string    `json:"hall"`
	Since time.Time `json:"since"`
}

func evacuationRows(st *state.State) (rows []EvacuationRow) {
	for _, hall := range slices.Sorted(maps.Keys(st.Evacuations)) {
		rows = append(rows, EvacuationRow{hall, time.UnixMilli(st.Evacuations[hall].UnixMs).UTC()})
	}
	return rows
}

// EvacuationAnswer is the response to the start or the end of an evacuation.
type EvacuationAnswer struct {
	Hall      string `json:"hall"`
	Evacuated bool   `json:"evacuated"`
	// Reason and Text are set if nothing changed or the outcome is unknown.
	Reason string `json:"reason,omitempty"`
	Text   string `json:"text,omitempty"`
}

func (a *Admin) evacuate(w http.ResponseWriter, r *http.Request, undo bool) {
	hall := chi.URLParam(r, "hall")
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
	defer cancel()
	_, why := a.opts.Cluster.Forward(ctx, &wire.Forward{
		Kind: wire.ForwardKind_FORWARD_EVACUATE, DeadlineMs: uint32(applyTimeout.Milliseconds()), Evacuate: &wire.EvacuateHall{Hall: hall, Undo: undo},
	})
	answer := &EvacuationAnswer{Hall: hall, Evacuated: !undo}
	if why == nil {
		a.reply(w, http.StatusOK, answer)
		return
	}
	a.opts.Meters.CountRefusal(why)
	answer.Reason, answer.Text = why.Code, why.Title+" "+why.Remedy
	a.reply(w, why.Status, answer)
}
