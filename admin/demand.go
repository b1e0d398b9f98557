package admin

import (
	"cmp"
	"maps"
	"net/http"
	"slices"

	"leverdrum/loadshare"
	"leverdrum/overload"
)

// DemandPath returns the demand for the pools whose load is shared, over all boxes.
const DemandPath = "/v1/demand"

// WorkspaceDemand is a workspace that asks for more than its share of a rank. Figures are in milliseconds of prefill a second.
type WorkspaceDemand struct {
	// Workspace is empty for those that the hub does not list, or whose name is not known, together.
	Workspace  string  `json:"workspace"`
	OfferedMs  float64 `json:"offered_ms"`
	AdmittedMs float64 `json:"admitted_ms"`
	ShareMs    float64 `json:"share_ms"`
}

// RankDemand is the demand of one rank of a pool.
type RankDemand struct {
	Rank int `json:"rank"`
	// OfferedMs and AdmittedMs are in milliseconds of prefill a second; WaitingMs is the prefill that waits in boxes.
	OfferedMs  float64 `json:"offered_ms"`
	AdmittedMs float64 `json:"admitted_ms"`
	WaitingMs  float64 `json:"waiting_ms"`
	// Refused and Late are requests a second.
	Refused float64 `json:"refused"`
	Late    float64 `json:"late"`
	// AboveShare are the workspaces above their share, the highest demand first; empty in a rank that is not short.
	AboveShare []WorkspaceDemand `json:"above_share,omitempty"`
}

// PoolDemand is the demand for one pool.
type PoolDemand struct {
	Pool string `json:"pool"`
	// Known is false if the box does not know the demand over all boxes.
	Known bool         `json:"known"`
	Ranks []RankDemand `json:"ranks,omitempty"`
}

// Demand is the response to a call for the demand for pools.
type Demand struct {
	Box string `json:"box"`
	// Shared is false if the boxes do not share load; nothing else is known then.
	Shared bool         `json:"shared"`
	Pools  []PoolDemand `json:"pools,omitempty"`
}

func (a *Admin) demand(w http.ResponseWriter, _ *http.Request) {
	d := &Demand{Box: a.opts.Box}
	var load LoadSource
	if a.opts.Load != nil {
		load = a.opts.Load()
	}
	view := a.opts.View()
	if load == nil || view.Fleet == nil {
		a.reply(w, http.StatusOK, d)
		return
	}
	d.Shared = true
	for _, pool := range slices.Sorted(maps.Keys(view.Fleet.Pools)) {
		if load.Active(pool) {
			d.Pools = append(d.Pools, poolDemand(load, pool))
		}
	}
	a.reply(w, http.StatusOK, d)
}

func poolDemand(load LoadSource, pool string) PoolDemand {
	figures, known := load.Pool(pool)
	p := PoolDemand{Pool: pool, Known: known}
	var shares overload.Shares
	shares.Update(figures, nil)
	for _, rank := range slices.Sorted(maps.Keys(figures.Ranks)) {
		r := figures.Ranks[rank]
		p.Ranks = append(p.Ranks, RankDemand{
			Rank: rank, OfferedMs: inMs(r.Offered), AdmittedMs: inMs(r.Admitted), WaitingMs: inMs(r.Waiting), Refused: r.Refused, Late: r.Late,
			AboveShare: aboveShare(figures.Workspaces[rank], shares.Above(rank)),
		})
	}
	return p
}

// aboveShare returns the workspaces with a share in seconds of prefill a second.
func aboveShare(workspaces map[string]loadshare.WorkspaceLoad, shares map[string]float64) []WorkspaceDemand {
	var out []WorkspaceDemand
	for name, share := range shares {
		w := workspaces[name]
		out = append(out, WorkspaceDemand{Workspace: name, OfferedMs: inMs(w.Offered), AdmittedMs: inMs(w.Admitted), ShareMs: inMs(share)})
	}
	slices.SortFunc(out, func(a, b WorkspaceDemand) int {
		return cmp.Or(cmp.Compare(b.OfferedMs, a.OfferedMs), cmp.Compare(a.Workspace, b.Workspace))
	})
	return out
}

func inMs(seconds float64) float64 { return 1000 * seconds }
