// Package admin is the operators' side of a box: apply, read back, explain,
// health and metrics, over HTTP.
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
	// EvacuationsPath, with a data hall behind it, takes PUT and DELETE.
	EvacuationsPath = "/v1/evacuations/"
)

// HeaderOperator names who applies a file.
const HeaderOperator = "X-Operator"

// Cluster passes operators' calls on to the leader.
type Cluster interface {
	// Forward returns the leader's answer. The reason is set when there is none.
	Forward(ctx context.Context, f *wire.Forward) (*wire.ForwardAnswer, *reason.Reason)
}

// Options make an Admin.
type Options struct {
	Box     string
	Cluster Cluster
	View    func() *state.State
	Ready   func() (bool, string)
	Records *record.History
	Meters  *meter.Meters
	// QuotaStatus returns what this box knows of a workspace's quota; nil where it serves none.
	QuotaStatus func(rate.Key) (rate.LimitStatus, bool)
	// Pushback is what servers said to this box of themselves; nil where it sends no requests.
	Pushback *pushback.Registry
}

// Admin serves operators.
type Admin struct {
	opts   Options
	router chi.Router
}

// New returns an Admin.
func New(opts Options) *Admin {
	a := &Admin{opts: opts}
	r := chi.NewRouter()
	r.Put(FleetPath, a.apply)
	r.Get(FleetPath, a.show)
	r.Get(StatusPath, a.status)
	r.Get(ExplainPath+"{name}", a.explain)
	r.Put(EvacuationsPath+"{hall}", func(w http.ResponseWriter, r *http.Request) { a.evacuate(w, r, false) })
	r.Delete(EvacuationsPath+"{hall}", func(w http.ResponseWriter, r *http.Request) { a.evacuate(w, r, true) })
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	r.Get("/readyz", a.ready)
	r.Handle("/metrics", opts.Meters.Handler())
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) { a.refuse(w, reason.NotFound, nil) })
	a.router = r
	return a
}

// ServeHTTP routes a call.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.router.ServeHTTP(w, r) }

// Version describes an accepted file.
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

// ApplyAnswer is the answer to an apply.
type ApplyAnswer struct {
	// Outcome is accepted, resent, superseded, conflict, older, invalid,
	// refused or unknown.
	Outcome string   `json:"outcome"`
	Winner  *Version `json:"winner,omitempty"`
	// AppliedBy counts the boxes that had the file when this answer was made.
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

// applyTimeout bounds one apply.
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
	a.applied(w, answer.Apply)
}

func outcomeOf(why *reason.Reason) string {
	if why.Outcome == reason.Unknown {
		return "unknown"
	}
	return "refused"
}

func (a *Admin) applied(w http.ResponseWriter, result *wire.ApplyResult) {
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
			// Agreed, but not yet in force on a majority of the boxes.
			status = http.StatusAccepted
		}
		a.reply(w, status, answer)
	}
}

// BlockedRow is a request that is kept from servers of a software version, since they ended while they ran it.
type BlockedRow struct {
	Fingerprint string    `json:"print"`
	Version     string    `json:"version,omitempty"`
	Servers     []string  `json:"servers"` // that ended last, the newest last
	BlockCount  uint32    `json:"holds"`
	Since       time.Time `json:"since"`
}

// LimitRow is a backend server that takes no more than it names.
type LimitRow struct {
	Server string `json:"server"`
	// PerSecond is what it takes from all boxes together, in requests a second.
	PerSecond float64   `json:"per_second"`
	Since     time.Time `json:"since"`
}

// BoxRow is one box in the status.
type BoxRow struct {
	Box     string `json:"box"`
	Member  string `json:"member"`
	Hall    string `json:"hall"`
	Disk    bool   `json:"disk"`
	Voter   bool   `json:"voter"`
	Leader  bool   `json:"leader"`
	Leaving bool   `json:"leaving,omitempty"`
	// State is in-force, behind or silent.
	State string `json:"state"`
	// Build is what it runs, Level the newest level that this knows.
	Build string      `json:"build,omitempty"`
	Level level.Level `json:"level"`
	Index uint64      `json:"index"`
	// AgeMs is how long ago the box was heard, in milliseconds.
	AgeMs uint32 `json:"age_ms"`
}

// ModelRow is one model or adapter in the status.
type ModelRow struct {
	Name    string   `json:"name"`
	Version string   `json:"version"`
	Ready   []string `json:"ready"`
	Loading []string `json:"coming,omitempty"`
}

// Status is what is in force, read from the leader.
type Status struct {
	Fleet  *Version   `json:"fleet"`
	Index  uint64     `json:"index"`
	Term   uint64     `json:"term"`
	Leader string     `json:"leader"`
	Voters []string   `json:"voters"`
	Boxes  []BoxRow   `json:"boxes"`
	Models []ModelRow `json:"models"`
	Orders int        `json:"open_orders"`
	// Level is in force; Waits says what a higher one waits for.
	Level        level.Level `json:"level"`
	LevelBlocker string      `json:"level_waits,omitempty"`
	Moves        uint64      `json:"moves"`
	// Blocked are the requests that are kept from servers.
	Blocked []BlockedRow `json:"held,omitempty"`
	// Limits are the backend servers that name one.
	Limits []LimitRow `json:"limits,omitempty"`
	// Evacuations are the data halls whose servers get nothing.
	Evacuations []EvacuationRow `json:"evacuations,omitempty"`
	// AnsweredBy is the box that was asked, and Said what backend servers said to it of their rest or end.
	AnsweredBy     string                  `json:"asked,omitempty"`
	ServerStatuses []pushback.ServerStatus `json:"said,omitempty"`
}

func (a *Admin) read(ctx context.Context) (*wire.ReadResult, *reason.Reason) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	answer, why := a.opts.Cluster.Forward(ctx, &wire.Forward{Kind: wire.ForwardKind_FORWARD_READ, DeadlineMs: uint32(applyTimeout.Milliseconds())})
	if why != nil {
		return nil, why
	}
	return answer.Read, nil
}

// show answers the text of the file in force, with digests in place of keys.
func (a *Admin) show(w http.ResponseWriter, r *http.Request) {
	result, why := a.read(r.Context())
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
	shown, err := fleet.Redact(result.State.FleetFormat, []byte(text))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write(shown)
}

func (a *Admin) status(w http.ResponseWriter, r *http.Request) {
	result, why := a.read(r.Context())
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
	st, err := state.Decode(proto.CloneOf(result.State)) // this box's own state, where it leads
	if err != nil {
		return nil, err
	}
	s := &Status{
		Fleet: version(st.Version), Index: result.Index, Term: result.Term, Leader: result.Leader, Voters: result.Voters,
		Orders: st.Orders.Len(), Moves: st.Moves, Boxes: boxRows(st, result), Models: modelRows(st), Blocked: heldRows(st), Limits: limitRows(st), Evacuations: evacuationRows(st),
		Level: st.Level, LevelBlocker: levelWaits(st),
	}
	return s, nil
}

// Explanation is the answer to explain.
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
