package admin

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"leverdrum/loadshare"
)

// ServersPath returns the load of backend servers as known to the box that is asked.
const ServersPath = "/v1/servers"

// LoadSource knows what all boxes have outstanding at backend servers, how fast these are, what they fail, and the
// demand for pools. loadshare.Sharer documents the methods.
type LoadSource interface {
	// Others returns what the other boxes have outstanding at a server; false if it is not known or too old.
	Others(server string) (loadshare.Outstanding, bool)
	// Slowness returns by what factor a server takes longer than the average one; 1 if unknown.
	Slowness(server string) float64
	// FailingShare returns the share of failures among recent attempts at a server; 0 if unknown.
	FailingShare(server string) float64
	// Own returns what this box has outstanding at a server.
	Own(server string) loadshare.Outstanding
	// Age returns the time since the last frame from the hub; false if there was none.
	Age() (time.Duration, bool)
	// Active reports whether load is shared for a pool.
	Active(pool string) bool
	// Pool returns the demand for a pool over all boxes; false if it is not known.
	Pool(pool string) (loadshare.PoolLoad, bool)
}

// ServerLoad is the load of one backend server over all boxes.
type ServerLoad struct {
	Server string `json:"server"`
	Pool   string `json:"pool"`
	Hall   string `json:"hall"`
	// Slowness is by what factor the server takes longer than the average one; 1 also if it is not known.
	Slowness float64 `json:"slowness"`
	// FailingShare is the share of failures among the recent attempts of all boxes; 0 also if it is not known.
	FailingShare float64 `json:"failing_share"`
	// Complete reports that PrefillMs and Running include all boxes; otherwise only the box that was asked.
	Complete bool `json:"complete"`
	// PrefillMs is the prefill whose first event has not arrived, in milliseconds at the speed of an average server.
	PrefillMs float64 `json:"prefill_ms"`
	// Running is the number of requests that have not ended.
	Running int `json:"running"`
}

// Servers is the response to a call for the load of backend servers.
type Servers struct {
	Box string `json:"box"`
	// Shared is false if the boxes do not share load; nothing else is known then.
	Shared bool `json:"shared"`
	// AgeMs is the time since the last frame from the box's hub, in milliseconds; -1 if there was none.
	AgeMs   int64        `json:"age_ms"`
	Servers []ServerLoad `json:"servers,omitempty"`
}

func (a *Admin) servers(w http.ResponseWriter, _ *http.Request) {
	s := &Servers{Box: a.opts.Box, AgeMs: -1}
	var load LoadSource
	if a.opts.Load != nil {
		load = a.opts.Load()
	}
	if load == nil {
		a.reply(w, http.StatusOK, s)
		return
	}
	s.Shared = true
	if age, known := load.Age(); known {
		s.AgeMs = age.Milliseconds()
	}
	for id, announced := range a.opts.View().Announcements.All() {
		s.Servers = append(s.Servers, serverLoad(load, id, announced.Service, announced.Hall))
	}
	slices.SortFunc(s.Servers, func(a, b ServerLoad) int {
		return cmp.Or(cmp.Compare(b.FailingShare, a.FailingShare), cmp.Compare(b.Slowness, a.Slowness), cmp.Compare(a.Server, b.Server))
	})
	a.reply(w, http.StatusOK, s)
}

func serverLoad(load LoadSource, id, pool, hall string) ServerLoad {
	own := load.Own(id)
	others, known := load.Others(id)
	if !known {
		others = loadshare.Outstanding{}
	}
	prefill := own.Prefill + others.Prefill
	return ServerLoad{
		Server: id, Pool: pool, Hall: hall, Slowness: load.Slowness(id), FailingShare: load.FailingShare(id), Complete: known,
		PrefillMs: float64(prefill) / float64(time.Millisecond), Running: own.Running + others.Running,
	}
}
