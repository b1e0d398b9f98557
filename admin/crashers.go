package admin

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"leverdrum/crasher"
	"leverdrum/reason"
	"leverdrum/wire"
)

// Crashers lists the requests and prompt parts that are suspected of crashing servers, as a box knows them.
type Crashers struct {
	Box      string       `json:"box"`
	Suspects []SuspectRow `json:"suspects"`
}

// SuspectRow is a request, or a part of prompts, that is suspected of crashing servers, or was ruled on by operators.
type SuspectRow struct {
	Fingerprint string   `json:"print,omitempty"`   // of a request
	Version     string   `json:"version,omitempty"` // of the servers' software, for a request
	Service     string   `json:"service,omitempty"` // of a prompt part
	Part        string   `json:"part,omitempty"`    // its ID in hexadecimal
	Blocked     bool     `json:"blocked"`
	Ruling      string   `json:"ruling,omitempty"` // of operators
	Weight      uint32   `json:"weight"`           // of the evidence
	BlockWeight uint32   `json:"block_weight"`     // at which it is blocked
	Served      bool     `json:"served"`           // a server answered it in full
	Servers     []string `json:"servers"`          // that terminated most recently, newest last
	BlockCount  uint32   `json:"holds"`
	// Since is when it changed last. It is released, or forgotten, a time TTL after that; 0: never.
	Since time.Time     `json:"since"`
	TTL   time.Duration `json:"ttl_ns"`
}

// Values of Ruling.Ruling.
const (
	RulingBlock  = "block"
	RulingExempt = "exempt"
	// RulingNone takes a ruling back, and forgets the evidence.
	RulingNone = "none"
)

var rulings = map[string]wire.Ruling{RulingBlock: wire.Ruling_RULING_BLOCK, RulingExempt: wire.Ruling_RULING_EXEMPT, RulingNone: wire.Ruling_RULING_NONE}

// Ruling is the body of a call that blocks or exempts a request (Fingerprint, Version) or a part of prompts (Service, Part).
type Ruling struct {
	Fingerprint string `json:"print,omitempty"` // in hexadecimal
	Version     string `json:"version,omitempty"`
	Service     string `json:"service,omitempty"`
	Part        string `json:"part,omitempty"` // in hexadecimal
	Ruling      string `json:"ruling"`
}

// RulingAnswer is the response to a Ruling.
type RulingAnswer struct {
	Ruling
	// Reason and Text are set if nothing changed or the outcome is unknown.
	Reason string `json:"reason,omitempty"`
	Text   string `json:"text,omitempty"`
}

func (a *Admin) crashers(w http.ResponseWriter, _ *http.Request) {
	list := &Crashers{Box: a.opts.Box, Suspects: []SuspectRow{}}
	st := a.opts.View()
	for _, s := range st.Crashers.Encode() {
		list.Suspects = append(list.Suspects, suspectRow(s))
	}
	a.reply(w, http.StatusOK, list)
}

func suspectRow(s *wire.Suspect) SuspectRow {
	row := SuspectRow{
		Service: s.Service, Part: partID(s), Version: s.Version, Blocked: s.Held, Weight: s.Weight, BlockWeight: crasher.BlockWeight(s), Served: s.Served, Servers: s.Servers,
		BlockCount: s.Holds, Since: time.UnixMilli(s.UnixMs).UTC(), TTL: crasher.TTL(s),
	}
	if s.Service == "" {
		row.Fingerprint = hex.EncodeToString(s.Print)
	}
	if s.Ruling != wire.Ruling_RULING_NONE {
		row.Ruling, row.TTL = rulingName(s.Ruling), 0
	}
	return row
}

func rulingName(r wire.Ruling) string {
	for name, ruling := range rulings {
		if ruling == r {
			return name
		}
	}
	return ""
}

// maxRulingBody is the largest body of a ruling in bytes.
const maxRulingBody = 4 << 10

func (a *Admin) rule(w http.ResponseWriter, r *http.Request) {
	answer := &RulingAnswer{}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRulingBody))
	if err == nil {
		err = json.Unmarshal(body, &answer.Ruling)
	}
	ruling, ok := parseRuling(&answer.Ruling)
	if err != nil || !ok {
		a.replyRuling(w, answer, reason.RulingRejected)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
	defer cancel()
	_, why := a.opts.Cluster.Forward(ctx, &wire.Forward{Kind: wire.ForwardKind_FORWARD_RULE, DeadlineMs: uint32(applyTimeout.Milliseconds()), Rule: ruling})
	a.replyRuling(w, answer, why)
}

func (a *Admin) replyRuling(w http.ResponseWriter, answer *RulingAnswer, why *reason.Reason) {
	if why == nil {
		a.reply(w, http.StatusOK, answer)
		return
	}
	a.opts.Meters.CountRefusal(why)
	answer.Reason, answer.Text = why.Code, why.Title+" "+why.Remedy
	a.reply(w, why.Status, answer)
}

// parseRuling returns false if a ruling is not valid.
func parseRuling(r *Ruling) (*wire.SuspectRuling, bool) {
	ruling, known := rulings[r.Ruling]
	out := &wire.SuspectRuling{Version: r.Version, Service: r.Service, Ruling: ruling}
	var err error
	if r.Service != "" {
		out.Part, err = strconv.ParseUint(r.Part, 16, 64)
		return out, known && err == nil && r.Fingerprint == "" && r.Version == ""
	}
	out.Print, err = hex.DecodeString(r.Fingerprint)
	_, isFingerprint := crasher.ParseFingerprint(out.Print)
	return out, known && err == nil && isFingerprint && r.Part == ""
}
