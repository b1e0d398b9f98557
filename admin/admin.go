// Package admin serves the operators' HTTP interface of a box: applying and
// reading the fleet file, status, explanations, evacuations, health and metrics.
package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"google.golang.org/protobuf/proto"

	"leverdrum/fleet"
	"leverdrum/internal/conf"
	"leverdrum/ledger"
	"leverdrum/level"
	"leverdrum/meter"
	"leverdrum/pushback"
	"leverdrum/rate"
	"leverdrum/reason"
	"leverdrum/record"
	"leverdrum/state"
	"leverdrum/wire"
)

// Paths of the operators' interface.
const (
	FleetPath   = "/v1/fleet"
	StatusPath  = "/v1/status"
	ExplainPath = "/v1/explain/"
	// EvacuationsPath, followed by the name of a data hall, accepts PUT and DELETE.
	EvacuationsPath = "/v1/evacuations/"
	// CrashersPath lists the suspects, and accepts a Ruling with PUT.
	CrashersPath = "/v1/crashers"
)

// HeaderOperator is the request header that names the operator who applies a file.
const HeaderOperator = "X-Operator"

// Cluster forwards operators' calls to the leader.
type Cluster interface {
	// Forward returns the leader's answer, or the reason why there is none.
	Forward(ctx context.Context, f *wire.Forward) (*wire.ForwardAnswer, *reason.Reason)
}

// Options configure an Admin.
type Options struct {
	Box     string
	Cluster Cluster
	View    func() *state.State
	Ready   func() (bool, string)
	Records *record.History
	Meters  *meter.Meters
	// QuotaStatus returns this box's view of a workspace's quota. It is nil on a box that serves no workspace.
	QuotaStatus func(rate.Key) (rate.LimitStatus, bool)
	// Pushback holds the backoff, draining and limits that backend servers reported to this box. It is nil on a
	// box that sends no requests.
	Pushback *pushback.Registry
	// Load returns what knows the load and speed of backend servers over all boxes, nil while the boxes do not share load.
	// It may be nil.
	Load func() LoadSource
}

// Admin is the HTTP handler of the operators' interface.
type Admin struct {
	opts   Options
	router chi.Router
}

// New returns an Admin.
func New(opts Options) *Admin {
	a := &Admin{opts: opts}
	r := chi.NewRouter()
	r.Put(FleetPath, a.apply)
	r.Get(FleetPath, a.showFleet)
	r.Get(StatusPath, a.status)
	r.Get(ExplainPath+"{name}", a.explain)
	r.Get(ServersPath, a.servers)
	r.Get(DemandPath, a.demand)
	r.Put(EvacuationsPath+"{hall}", func(w http.ResponseWriter, r *http.Request) { a.evacuate(w, r, false) })
	r.Delete(EvacuationsPath+"{hall}", func(w http.ResponseWriter, r *http.Request) { a.evacuate(w, r, true) })
	r.Get(CrashersPath, a.crashers)
	r.Put(CrashersPath, a.rule)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	r.Get("/readyz", a.ready)
	r.Handle("/metrics", opts.Meters.Handler())
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) { a.refuse(w, reason.NotFound, nil) })
	a.router = r
	return a
}

// ServeHTTP dispatches a call to its handler.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.router.ServeHTTP(w, r) }

// Version describes an accepted fleet file.
type Version struct {
	Number   uint64    `json:"number"`
	Digest   string    `json:"digest"`
	Operator string    `json:"operator,omitempty"`
	Since    time.Time `json:"since"`
}

func version(v *wire.FleetVersion) *Version {
	if v == nil {
		return nil
	}
	return &Version{v.Number, v.Digest, v.Operator, time.UnixMilli(v.UnixMs).UTC()}
}

// ApplyAnswer is the response to an apply call.
type ApplyAnswer struct {
	// Outcome is accepted, resent, superseded, conflict, older, invalid,
	// refused or unknown.
	Outcome string   `json:"outcome"`
	Winner  *Version `json:"winner,omitempty"`
	// AppliedBy is the number of boxes that had applied the file when the response was written.
	AppliedBy int `json:"in_force"`
	Boxes     int `json:"boxes"`
	// Reason and Text are set when the file was not accepted.
	Reason string       `json:"reason,omitempty"`
	Text   string       `json:"text,omitempty"`
	Faults []conf.Fault `json:"faults,omitempty"`
}

func (a *Admin) reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(body)
}

func (a *Admin) refuse(w http.ResponseWriter, why *reason.Reason, answer *ApplyAnswer) {
	a.opts.Meters.CountRefusal(why)
	if answer == nil {
		answer = &ApplyAnswer{Outcome: "refused"}
	}
	answer.Reason, answer.Text = why.Code, why.Title+" "+why.Remedy
	a.reply(w, why.Status, answer)
}

// applyTimeout bounds a call that is forwarded to the leader.
const applyTimeout = 6 * time.Second

func (a *Admin) apply(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(io.LimitReader(r.Body, conf.MaxBytes+1))
	if err != nil {
		a.refuse(w, reason.FileInvalid, nil)
		return
	}
	f, err := fleet.Parse("fleet", text)
	if err != nil {
		faults, _ := err.(conf.Faults)
		a.refuse(w, reason.FileInvalid, &ApplyAnswer{Outcome: string(state.Invalid), Faults: faults})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
	defer cancel()
	answer, why := a.opts.Cluster.Forward(ctx, &wire.Forward{
		Kind: wire.ForwardKind_FORWARD_APPLY, DeadlineMs: uint32(applyTimeout.Milliseconds()),
		Apply: &wire.ApplyFleet{Number: f.Number, Digest: fleet.Digest(text), Text: string(text), Operator: r.Header.Get(HeaderOperator)},
	})
	if why != nil {
		a.refuse(w, why, &ApplyAnswer{Outcome: outcomeOf(why)})
		return
	}
	a.writeApplyResult(w, answer.Apply)
}

func outcomeOf(why *reason.Reason) string {
	if why.Outcome == reason.Unknown {
		return "unknown"
	}
	return "refused"
}

func (a *Admin) writeApplyResult(w http.ResponseWriter, result *wire.ApplyResult) {
	answer := &ApplyAnswer{Outcome: result.Outcome, Winner: version(result.Winner), AppliedBy: int(result.InForce), Boxes: int(result.Boxes)}
	switch state.ApplyOutcome(result.Outcome) {
	case state.Conflict:
		a.refuse(w, reason.FileConflict, answer)
	case state.Older:
		a.refuse(w, reason.FileOlder, answer)
	case state.Invalid:
		a.refuse(w, reason.FileInvalid, answer)
	default:
		status := http.StatusOK
		if answer.AppliedBy <= answer.Boxes/2 {
			// Committed, but not yet applied by a majority of the boxes.
			status = http.StatusAccepted
		}
		a.reply(w, status, answer)
	}
}

// BlockedRow is a request that is not sent to servers of a software version, because servers terminated while they
// processed it, or a prompt part that is not sent to the servers of a service.
type BlockedRow struct {
	Fingerprint string    `json:"print"`
	Service     string    `json:"service,omitempty"` // of a prompt part
	Part        string    `json:"part,omitempty"`    // its ID in hexadecimal
	Version     string    `json:"version,omitempty"`
	Servers     []string  `json:"servers"` // the servers that terminated most recently, newest last
	BlockCount  uint32    `json:"holds"`
	Since       time.Time `json:"since"`
}

// LimitRow is a backend server that limits its request rate.
type LimitRow struct {
	Server string `json:"server"`
	// PerSecond is the limit in requests per second, over all boxes.
	PerSecond float64   `json:"per_second"`
	Since     time.Time `json:"since"`
}

// BoxRow is the status of one box.
type BoxRow struct {
	Box     string `json:"box"`
	Member  string `json:"member"`
	Hall    string `json:"hall"`
	Disk    bool   `json:"disk"`
	Voter   bool   `json:"voter"`
	Leader  bool   `json:"leader"`
	Leaving bool   `json:"leaving,omitempty"`
	// State is in-force if the box has applied the fleet file, behind if it has not, or silent if it is unresponsive.
	State string `json:"state"`
	// Build is the software that the box runs, Level the newest level that this build supports.
	Build string      `json:"build,omitempty"`
	Level level.Level `json:"level"`
	Index uint64      `json:"index"`
	// AgeMs is the age of the box's last report, in milliseconds.
	AgeMs uint32 `json:"age_ms"`
}

// ModelRow is the status of one model or adapter.
type ModelRow struct {
	Name    string   `json:"name"`
	Version string   `json:"version"`
	Ready   []string `json:"ready"`
	Loading []string `json:"coming,omitempty"`
}

// Status is the active fleet file and the state of the cluster, as read from the leader.
type Status struct {
	Fleet  *Version   `json:"fleet"`
	Index  uint64     `json:"index"`
	Term   uint64     `json:"term"`
	Leader string     `json:"leader"`
	Voters []string   `json:"voters"`
	Boxes  []BoxRow   `json:"boxes"`
	Models []ModelRow `json:"models"`
	Orders int        `json:"open_orders"`
	// Level is the active level. LevelBlocker describes what delays the next one.
	Level        level.Level `json:"level"`
	LevelBlocker string      `json:"level_waits,omitempty"`
	Moves        uint64      `json:"moves"`
	// Blocked lists the requests that are not sent to some servers because servers terminated while they processed them.
	Blocked []BlockedRow `json:"held,omitempty"`
	// Limits lists the backend servers that limit their request rate.
	Limits []LimitRow `json:"limits,omitempty"`
	// Evacuations lists the data halls whose backend servers receive nothing.
	Evacuations []EvacuationRow `json:"evacuations,omitempty"`
	// AnsweredBy is the box that answered the call. ServerStatuses holds the backoff or draining that backend
	// servers reported to this box.
	AnsweredBy     string                  `json:"asked,omitempty"`
	ServerStatuses []pushback.ServerStatus `json:"said,omitempty"`
}

// readState reads the committed state, or only its fleet file, through the leader.
func (a *Admin) readState(ctx context.Context, fileOnly bool) (*wire.ReadResult, *reason.Reason) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	answer, why := a.opts.Cluster.Forward(ctx, &wire.Forward{Kind: wire.ForwardKind_FORWARD_READ, DeadlineMs: uint32(applyTimeout.Milliseconds()), FileOnly: fileOnly})
	if why != nil {
		return nil, why
	}
	return answer.Read, nil
}

// showFleet responds with the text of the active fleet file, with keys replaced by their digests.
func (a *Admin) showFleet(w http.ResponseWriter, r *http.Request) {
	result, why := a.readState(r.Context(), true)
	if why != nil {
		a.refuse(w, why, nil)
		return
	}
	if result.State.Fleet == nil {
		a.refuse(w, reason.NoFleetFile, nil)
		return
	}
	text, err := state.FileText(result.State)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	redacted, err := fleet.Redact(result.State.FleetFormat, []byte(text))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write(redacted)
}

func (a *Admin) status(w http.ResponseWriter, r *http.Request) {
	result, why := a.readState(r.Context(), false)
	if why != nil {
		a.refuse(w, why, nil)
		return
	}
	s, err := summarize(result)
	if err != nil {
		a.refuse(w, reason.Busy, nil)
		return
	}
	s.AnsweredBy, s.ServerStatuses = a.opts.Box, a.opts.Pushback.Statuses()
	a.reply(w, http.StatusOK, s)
}

func summarize(result *wire.ReadResult) (*Status, error) {
	st, err := state.Decode(proto.CloneOf(result.State)) // on the leader, the result shares this box's own state
	if err != nil {
		return nil, err
	}
	s := &Status{
		Fleet: version(st.Version), Index: result.Index, Term: result.Term, Leader: result.Leader, Voters: result.Voters,
		Orders: st.Orders.Len(), Moves: st.Moves, Boxes: boxRows(st, result), Models: modelRows(st), Blocked: blockedRows(st), Limits: limitRows(st), Evacuations: evacuationRows(st),
		Level: st.Level, LevelBlocker: levelBlocker(st),
	}
	return s, nil
}

// Explanation is the response to an explain call.
type Explanation struct {
	Box          string            `json:"box"`
	Subject      string            `json:"about"`
	CurrentState []string          `json:"now,omitempty"`
	Decisions    []record.Decision `json:"decisions"`
}

func (a *Admin) explain(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "name")
	e := &Explanation{Box: a.opts.Box, Subject: name, Decisions: a.opts.Records.ByName(name)}
	for _, res := range a.opts.View().Encode().Residents {
		if res.Item.Adapter == name || res.Item.Adapter == "" && res.Item.Model == name || res.Server == name {
			e.CurrentState = append(e.CurrentState, ledger.Describe(res.Item)+" on "+res.Server+": "+phaseName(res.Phase))
		}
	}
	e.CurrentState = append(e.CurrentState, a.explainWorkspace(name)...)
	e.CurrentState = append(e.CurrentState, a.explainServer(name)...)
	if len(e.Decisions) == 0 && len(e.CurrentState) == 0 {
		a.refuse(w, reason.NotFound, nil)
		return
	}
	a.reply(w, http.StatusOK, e)
}

func (a *Admin) ready(w http.ResponseWriter, _ *http.Request) {
	ok, why := a.opts.Ready()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = io.WriteString(w, why+"\n")
}
