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
	// maxQueuedNotices bounds the queue of notices to the leader.
	maxQueuedNotices = 256
	// bodyMemoryDivisor limits request bodies to 1/8 of the process's memory.
	bodyMemoryDivisor = 8
	// noticeTimeout bounds sending one batch of notices.
	noticeTimeout = 400 * time.Millisecond
	// redundantAnnounceTimeout bounds forwarding an announcement without new information.
	redundantAnnounceTimeout = 300 * time.Millisecond
)

// dialServers returns how a box opens connections to backend servers; nil: over TCP. Tests replace it to simulate broken links.
var dialServers = func(*settings.Settings) gateway.Dialer { return nil }

func (b *Box) newGateway(p *components) *gateway.Gateway {
	s := b.settings
	own := dialect.Native
	if s.Dialect == settings.DialectPlatform {
		own = platform.Dialect
	}
	return gateway.New(gateway.Options{
		Dial: dialServers(s), OpenRelay: b.openRelay, Self: s.Box, Dialect: own, View: p.replica.View, Current: func() bool { return b.routesInitialized.Load() && p.spread.Current() },
		Notify: func(n gateway.Notice) {
			if p.replica.View().Level < level.ConfirmedVersions {
				n.AwaitedVersion = ""
			}
			select {
			case p.notices <- n:
			default: // the next request makes a notice again
			}
		},
		ReportCrash: p.crashes.add, RecordExposures: p.crashes.recordExposures, Quotas: p.quotas.limiter, Load: p.loadSource(), Origins: p.origins, SharesLoad: p.sharesLoad, Pushback: p.pushback,
		Hall: s.Hall, DrainingDuration: s.DrainingGrace, ConfirmedAge: p.spread.ConfirmedAge, MaxBodies: s.MemoryLimit / bodyMemoryDivisor, Responses: p.responses, RegionOf: func(hall string) string { return regionOf(p.replica.View(), s, hall) },
		Budget:   gateway.Budget{Ratio: s.BudgetRatio, Slack: s.BudgetSlack, Window: s.BudgetWindow},
		Shutdown: b.shutdown, Meters: b.meters, Log: b.log,
	})
}

// forwardNotices sends queued notices to the leader, all that are pending in one call.
func (b *Box) forwardNotices(ctx context.Context, p *components) {
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
			_, _ = f.Forward(ctx, call) // notices are repeated while their cause lasts
			cancel()
		case <-ctx.Done():
			return
		}
	}
}

// regionOf returns the region of a data hall from the fleet file, else from the settings.
func regionOf(view *state.State, s *settings.Settings, hall string) string {
	if view.Fleet != nil && view.Fleet.Halls[hall] != nil {
		return view.Fleet.Halls[hall].Region
	}
	return s.Regions[hall]
}

// forwardLimit queues a notice to the leader of the limit that a server announced.
func (p *components) forwardLimit(server string, limit dialect.Limit) {
	select {
	case p.notices <- gateway.Notice{LimitedServer: server, Limit: limit}:
	default: // reported again with a later response
	}
}

// backoffReportInterval is the time between two reports of servers' long backoffs. Repeating them informs a new leader soon.
const backoffReportInterval = 2 * time.Second

// forwardBackoffs reports servers' long backoffs to the leader until the context ends.
func (p *components) forwardBackoffs(ctx context.Context) {
	for wait.For(ctx, backoffReportInterval) {
		if p.replica.View().Level < level.ServerBackoffs {
			continue
		}
		for server, left := range p.pushback.LongBackoffs() {
			select {
			case p.notices <- gateway.Notice{BackoffServer: server, Backoff: left}:
			default: // reported again while the backoff lasts
			}
		}
	}
}

func addNotice(call *wire.Forward, n gateway.Notice) {
	if n.AwaitedItem != "" {
		call.Wants = append(call.Wants, &wire.Demand{Model: n.AwaitedItem, Version: n.AwaitedVersion})
	}
	if n.CrowdedAdapter != "" {
		call.Crowded = append(call.Crowded, &wire.Demand{Model: n.CrowdedAdapter})
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

// listenPlatform opens the listeners for readiness checks and for calls of the platform and its
// servers.
func (b *Box) listenPlatform() error {
	handlers := map[string]http.Handler{
		b.settings.ReadyListen: platform.Ready(func() bool { ready, _ := b.ready(); return ready }),
		b.settings.PlatformListen: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if p := b.components.Load(); p != nil {
				p.platform.ServeHTTP(w, r)
				return
			}
			serveStarting(w, r)
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
		b.auxiliaryHTTP = append(b.auxiliaryHTTP, s)
	}
	return nil
}

// platformCluster executes the platform's calls. It implements platform.Cluster.
type platformCluster struct {
	box        *Box
	components *components
}

func (c *platformCluster) forward(ctx context.Context, f *wire.Forward) (*wire.ForwardAnswer, error) {
	if d, ok := ctx.Deadline(); ok {
		f.DeadlineMs = uint32(max(1, time.Until(d).Milliseconds()))
	}
	answer, why := (&forwarder{c.box, c.components}).Forward(ctx, f)
	if why != nil {
		c.box.meters.CountRefusal(why)
		return nil, &refusedError{why}
	}
	return answer, nil
}

// refusedError is the error of a call that the leader did not execute, or may not have.
type refusedError struct{ reason *reason.Reason }

// Error returns the reason's code and title.
func (e *refusedError) Error() string { return e.reason.Code + ": " + e.reason.Title }

// Apply commits a configuration through the leader.
func (c *platformCluster) Apply(ctx context.Context, number uint64, format string, text []byte) error {
	answer, err := c.forward(ctx, &wire.Forward{
		Kind: wire.ForwardKind_FORWARD_APPLY, Apply: &wire.ApplyFleet{Number: number, Digest: fleet.Digest(text), Text: string(text), Format: format},
	})
	if err != nil {
		event.ConfigurationUnacknowledged.Log(c.box.log, zap.Uint64("number", number), event.ErrorField(err))
		return err
	}
	if answer.Apply.Outcome == string(state.Invalid) {
		return Error.New("the leader could not parse the configuration")
	}
	event.ConfigurationAccepted.Log(c.box.log, zap.Uint64("number", number), zap.String("outcome", answer.Apply.Outcome),
		zap.Uint64("winner", answer.Apply.Winner.GetNumber()), zap.Uint32("in_force", answer.Apply.InForce), zap.Uint32("boxes", answer.Apply.Boxes))
	return nil
}

// ReadFinished logs how a read of the configuration ended.
func (c *platformCluster) ReadFinished(r platform.ConfigurationRead) {
	event.ConfigurationRead.Log(c.box.log, zap.Int("bytes", r.Bytes), zap.Int("written", r.Written), zap.String("redirected", r.RedirectedTo), zap.Duration("confirming", r.Confirming),
		zap.Duration("writing", r.Writing), event.ErrorField(r.Err))
}

// Announce forwards a server's announcement to the leader. One without new information
// is acknowledged even if there is no leader.
func (c *platformCluster) Announce(ctx context.Context, a *wire.Announcement) error {
	known := c.components.replica.View().Announcements.Get(a.Id)
	redundant := known != nil && (known.Leaving || !a.Leaving) && known.Address == a.Address && known.Service == a.Service && (known.Cold || !a.Cold)
	if redundant {
		short, cancel := context.WithTimeout(ctx, redundantAnnounceTimeout)
		defer cancel()
		ctx = short
	}
	_, err := c.forward(ctx, &wire.Forward{Kind: wire.ForwardKind_FORWARD_ANNOUNCE, Announcement: a})
	if redundant {
		return nil
	}
	return err
}

// Withdraw forwards the deregistration of a server to the leader.
func (c *platformCluster) Withdraw(ctx context.Context, w *wire.Withdraw) error {
	_, err := c.forward(ctx, &wire.Forward{Kind: wire.ForwardKind_FORWARD_WITHDRAW, Withdraw: w})
	return err
}

// Evacuate starts the evacuation of a data hall, or cancels it.
func (c *platformCluster) Evacuate(ctx context.Context, hall string, undo bool) error {
	_, err := c.forward(ctx, &wire.Forward{Kind: wire.ForwardKind_FORWARD_EVACUATE, Evacuate: &wire.EvacuateHall{Hall: hall, Undo: undo}})
	var refused *refusedError
	if errors.As(err, &refused) && refused.reason == reason.UnknownHall {
		return platform.ErrUnknownHall
	}
	return err
}

// Observer returns the address at which the leader receives announcements, "" for this box.
func (c *platformCluster) Observer() string {
	leader := c.components.spread.Leader()
	if _, held := c.components.replica.Lease(); !held && leader == c.components.replica.ID() {
		leader = "" // this box has lost the leadership
	}
	return observerAddress(c.components.replica.View().Members, leader, c.box.settings.Box)
}

// observerAddress returns the announce address of the leader, "" if this box leads. If no leader is
// known, it returns the address of the next box with a disk, which may reach one: a box that is
// cut off must not be the only receiver of servers' announcements.
func observerAddress(members map[string]*wire.Member, leader, self string) string {
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

// Malformed counts and logs a call that could not be parsed.
func (c *platformCluster) Malformed(what string, err error) {
	c.box.meters.CountRefusal(reason.BadRequest)
	event.CallMalformed.Log(c.box.log, zap.String("call", what), event.ErrorField(err))
}

// InvalidMessage counts a call that names no server, and logs it at most once per logInterval and kind: a client that is
// no server may send one each second.
func (c *platformCluster) InvalidMessage(call string, why platform.MessageFault, err error) {
	c.box.meters.Count(meter.InvalidReports, string(why)).Inc()
	if c.box.invalidCallLog.allow(string(why), time.Now()) {
		event.CallMalformed.Log(c.box.log, zap.String("call", call), zap.String("why", string(why)), event.ErrorField(err))
	}
}
