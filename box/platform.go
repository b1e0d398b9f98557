package box

import (
	"context"
	"errors"
	"math"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"leverdrum/dialect"
	"leverdrum/event"
	"leverdrum/fleet"
	"leverdrum/gateway"
	"leverdrum/internal/wait"
	"leverdrum/level"
	"leverdrum/meter"
	"leverdrum/platform"
	"leverdrum/reason"
	"leverdrum/settings"
	"leverdrum/state"
	"leverdrum/wire"
)

const (
	// noticesLength bounds the notices that wait to be told to the leader.
	noticesLength = 256
	// bodiesShare is the part of the process's memory that bodies of requests may take.
	bodiesShare = 8
	// noticeTimeout bounds the telling of some.
	noticeTimeout = 400 * time.Millisecond
	// knownTimeout bounds the passing on of an announcement that says nothing new.
	knownTimeout = 300 * time.Millisecond
)

func (b *Box) newGateway(p *parts) *gateway.Gateway {
	s := b.settings
	own := dialect.Native
	if s.Dialect == settings.DialectPlatform {
		own = platform.Dialect
	}
	return gateway.New(gateway.Options{
		Dialect: own, View: p.replica.View, Current: func() bool { return b.warm.Load() && p.spread.Current() },
		Notify: func(n gateway.Notice) {
			select {
			case p.notices <- n:
			default: // the leader hears of it with the next request
			}
		},
		ReportCrash: p.crashes.add, Quotas: p.quotas.limiter, Pushback: p.pushback,
		Hall: s.Hall, DrainingDuration: s.DrainingGrace, MaxBodies: s.MemoryLimit / bodiesShare, RegionOf: func(hall string) string { return regionOf(p.replica.View(), s, hall) },
		Budget: gateway.Budget{Ratio: s.BudgetRatio, Slack: s.BudgetSlack, Window: s.BudgetWindow},
		Meters: b.meters, Log: b.log,
	})
}

// tellLeader passes notices on to the leader, all that wait at once.
func (b *Box) tellLeader(ctx context.Context, p *parts) {
	f := &forwarder{b, p}
	for {
		select {
		case n := <-p.notices:
			call := &wire.Forward{Kind: wire.ForwardKind_FORWARD_NOTICE, DeadlineMs: uint32(noticeTimeout.Milliseconds()), Box: b.settings.Box}
			addNotice(call, n)
			for len(p.notices) > 0 {
				addNotice(call, <-p.notices)
			}
			ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
			_, _ = f.Forward(ctx, call) // repeated while it lasts
			cancel()
		case <-ctx.Done():
			return
		}
	}
}

// regionOf tells the region of a data hall by the fleet file, else by the settings.
func regionOf(view *state.State, s *settings.Settings, hall string) string {
	if view.Fleet != nil && view.Fleet.Halls[hall] != nil {
		return view.Fleet.Halls[hall].Region
	}
	return s.Regions[hall]
}

// tellLimit has the leader hear what a server named as its limit.
func (p *parts) tellLimit(server string, limit dialect.Limit) {
	select {
	case p.notices <- gateway.Notice{LimitedServer: server, Limit: limit}:
	default: // told again with a later answer
	}
}

// restsEvery is the time between two reports of servers' long rests, so that a new leader soon knows of them.
const restsEvery = 2 * time.Second

// tellRests has the leader hear of servers' long rests until the context ends.
func (p *parts) tellRests(ctx context.Context) {
	for wait.For(ctx, restsEvery) {
		if p.replica.View().Level < level.ServerBackoffs {
			continue
		}
		for server, left := range p.pushback.LongBackoffs() {
			select {
			case p.notices <- gateway.Notice{BackoffServer: server, Backoff: left}:
			default: // told again while it lasts
			}
		}
	}
}

func addNotice(call *wire.Forward, n gateway.Notice) {
	if n.AwaitedItem != "" {
		call.Wants = append(call.Wants, &wire.Demand{Model: n.AwaitedItem})
	}
	if n.RefusingServer != "" {
		call.Refusing = append(call.Refusing, n.RefusingServer)
	}
	if n.LimitedServer != "" {
		call.Limits = append(call.Limits, &wire.ServerLimit{Server: n.LimitedServer, Milli: uint32(n.Limit)})
	}
	if n.BackoffServer != "" {
		call.Rests = append(call.Rests, &wire.ServerRest{Server: n.BackoffServer, LeftMs: uint32(min(n.Backoff.Milliseconds(), math.MaxUint32))})
	}
	if n.UnreachableServer != "" {
		call.Unreached = append(call.Unreached, n.UnreachableServer)
	}
}

// listenPlatform opens what the platform and announced servers speak to.
func (b *Box) listenPlatform() error {
	handlers := map[string]http.Handler{
		b.settings.ReadyListen: platform.Ready(func() bool { ready, _ := b.ready(); return ready }),
		b.settings.PlatformListen: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if p := b.parts.Load(); p != nil {
				p.platform.ServeHTTP(w, r)
				return
			}
			starting(w, r)
		}),
	}
	for address, h := range handlers {
		if address == "" {
			continue
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
		if err := b.serveHTTP(s, address); err != nil {
			return err
		}
		b.others = append(b.others, s)
	}
	return nil
}

// platformCluster carries out the platform's calls. It implements
// platform.Cluster.
type platformCluster struct {
	box   *Box
	parts *parts
}

func (c *platformCluster) forward(ctx context.Context, f *wire.Forward) (*wire.ForwardAnswer, error) {
	if d, ok := ctx.Deadline(); ok {
		f.DeadlineMs = uint32(max(1, time.Until(d).Milliseconds()))
	}
	answer, why := (&forwarder{c.box, c.parts}).Forward(ctx, f)
	if why != nil {
		c.box.meters.CountRefusal(why)
		return nil, &refusedError{why}
	}
	return answer, nil
}

// refusedError is a call that the leader did not carry out, or may not have.
type refusedError struct{ why *reason.Reason }

// Error returns the reason's text.
func (e *refusedError) Error() string { return e.why.Code + ": " + e.why.Title }

// Apply has a configuration agreed.
func (c *platformCluster) Apply(ctx context.Context, number uint64, format string, text []byte) error {
	answer, err := c.forward(ctx, &wire.Forward{
		Kind: wire.ForwardKind_FORWARD_APPLY, Apply: &wire.ApplyFleet{Number: number, Digest: fleet.Digest(text), Text: string(text), Format: format},
	})
	if err != nil {
		event.ConfigurationUnacknowledged.Log(c.box.log, zap.Uint64("number", number), event.ErrorField(err))
		return err
	}
	if answer.Apply.Outcome == string(state.Invalid) {
		return Error.New("the leader cannot read the configuration")
	}
	event.ConfigurationAccepted.Log(c.box.log, zap.Uint64("number", number), zap.String("outcome", answer.Apply.Outcome),
		zap.Uint64("winner", answer.Apply.Winner.GetNumber()), zap.Uint32("in_force", answer.Apply.InForce), zap.Uint32("boxes", answer.Apply.Boxes))
	return nil
}

// Configuration reads back what is agreed.
func (c *platformCluster) Configuration(ctx context.Context) ([]byte, error) {
	answer, err := c.forward(ctx, &wire.Forward{Kind: wire.ForwardKind_FORWARD_READ, FileOnly: true})
	if err != nil {
		return nil, err
	}
	if answer.Read.State.FleetFormat != platform.Format {
		return nil, nil
	}
	text, err := state.FileText(answer.Read.State)
	return []byte(text), err
}

// Announce passes a server's word on to the leader. One that says nothing new is
// acknowledged without a leader, too.
func (c *platformCluster) Announce(ctx context.Context, a *wire.Announcement) error {
	known := c.parts.replica.View().Announcements.Get(a.Id)
	nothingNew := known != nil && (known.Leaving || !a.Leaving) && known.Address == a.Address && known.Service == a.Service && (known.Cold || !a.Cold)
	if nothingNew {
		short, cancel := context.WithTimeout(ctx, knownTimeout)
		defer cancel()
		ctx = short
	}
	_, err := c.forward(ctx, &wire.Forward{Kind: wire.ForwardKind_FORWARD_ANNOUNCE, Announcement: a})
	if nothingNew {
		return nil
	}
	return err
}

// Withdraw passes a server's end on to the leader.
func (c *platformCluster) Withdraw(ctx context.Context, w *wire.Withdraw) error {
	_, err := c.forward(ctx, &wire.Forward{Kind: wire.ForwardKind_FORWARD_WITHDRAW, Withdraw: w})
	return err
}

// Evacuate has a data hall evacuated, or that taken back.
func (c *platformCluster) Evacuate(ctx context.Context, hall string, undo bool) error {
	_, err := c.forward(ctx, &wire.Forward{Kind: wire.ForwardKind_FORWARD_EVACUATE, Evacuate: &wire.EvacuateHall{Hall: hall, Undo: undo}})
	var refused *refusedError
	if errors.As(err, &refused) && refused.why == reason.UnknownHall {
		return platform.ErrUnknownHall
	}
	return err
}

// Observer returns where the leader hears announcements.
func (c *platformCluster) Observer() string {
	leader := c.parts.spread.Leader()
	if _, held := c.parts.replica.Lease(); !held && leader == c.parts.replica.ID() {
		leader = "" // it led once
	}
	return observer(c.parts.replica.View().Members, leader, c.box.settings.Box)
}

// observer returns the address of the leader, "" where that is the own box. Where none is
// known it is that of the next box with a disk, which may reach one: a box that is cut off
// must not keep the servers' words to itself.
func observer(members map[string]*wire.Member, leader, self string) string {
	var others []string
	for name, m := range members {
		switch {
		case state.MemberID(m) == leader && name == self:
			return ""
		case state.MemberID(m) == leader && !m.Leaving:
			return m.AnnounceAddress
		case m.Disk && !m.Leaving && name != self:
			others = append(others, name)
		}
	}
	if len(others) == 0 {
		return ""
	}
	slices.Sort(others)
	i, _ := slices.BinarySearch(others, self)
	return members[others[i%len(others)]].AnnounceAddress
}

// Malformed notes a call that could not be read.
func (c *platformCluster) Malformed(what string, err error) {
	c.box.meters.CountRefusal(reason.BadRequest)
	event.CallMalformed.Log(c.box.log, zap.String("call", what), event.ErrorField(err))
}

// InvalidMessage counts a word that names no server, and writes its line where none of its kind was written lately:
// another writer may send one each second.
func (c *platformCluster) InvalidMessage(call string, why platform.MessageFault, err error) {
	c.box.meters.Count(meter.InvalidReports, string(why)).Inc()
	if c.box.strange.due(string(why), time.Now()) {
		event.CallMalformed.Log(c.box.log, zap.String("call", call), zap.String("why", string(why)), event.ErrorField(err))
	}
}
