package box

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"leverdrum/dialect"
	"leverdrum/internal/clock"
	"leverdrum/level"
	"leverdrum/peer"
	"leverdrum/rate"
	"leverdrum/replica"
	"leverdrum/spread"
	"leverdrum/state"
	"leverdrum/throttle"
	"leverdrum/wire"
)

const (
	// passOver is how long a box is not asked for leases again that did not answer. Each ask of it
	// would cost the requests that wait the whole time of an answer.
	passOver = 500 * time.Millisecond
	// leaderSure is the age of the news up to which there surely is a leader: a parent holds a
	// question for 400 ms. A leader that leads and is only slow must not have another allocator
	// beside it, or both lease their part for as long as it is slow.
	leaderSure = 700 * time.Millisecond
)

// leased says what a box's limits are of.
type leased struct {
	// servers: what backend servers name, else the quotas of workspaces.
	servers bool
	// since is the level from which on builds lease them.
	since level.Level
	// window is the span over which they are judged.
	window time.Duration
}

// serverWindow is the span over which servers' limits are judged.
const serverWindow = 4 * time.Second

// quotas is a box's part in limits that hold for all boxes together, of one kind: it asks for leases, and answers others.
type quotas struct {
	of      leased
	self    string
	replica *replica.Replica
	spread  *spread.Distributor
	pool    *peer.Pool
	lessor  *rate.Lessor
	limiter *rate.Limiter
	now     func() time.Duration

	mu     sync.Mutex
	failed map[string]time.Duration // boxes that did not answer, and when
}

func newQuotas(of leased, self *wire.Member, r *replica.Replica, s *spread.Distributor, pool *peer.Pool) *quotas {
	now := clock.New().Now
	q := &quotas{of: of, self: self.Box, replica: r, spread: s, pool: pool, now: now, failed: map[string]time.Duration{}}
	q.lessor = rate.NewLessor(state.ProcessID(self), now)
	q.limiter = rate.NewLimiter(rate.Options{
		Lease: q.lease, Now: now, Window: of.window,
		Boxes: func() int { return len(r.View().Members) },
	})
	return q
}

// answer answers a box, this one included. A box that does not hold the lease of its leadership is not the leader: by
// the time that it answers another may be.
func (q *quotas) answer(box string, call *wire.QuotaCall) *wire.QuotaAnswer {
	view := q.replica.View()
	_, leads := q.replica.Lease()
	lead := rate.Leadership{IsLeader: leads, Boxes: len(view.Members)}
	if leads {
		lead.Term = q.replica.Status().Term
	}
	asks := make([]rate.LimitRequest, 0, len(call.Asks))
	for _, a := range call.Asks {
		asks = append(asks, rate.LimitRequest{
			Key: rate.Key{Name: a.Workspace, Rank: int(a.Rank)}, PerSecond: dialect.Limit(a.MilliLimit).PerSecond(),
			LeaseRequest: rate.LeaseRequest{Pending: a.Need, SmallestPending: a.Least, Prefetch: a.Ahead, Unused: a.Unused},
		})
	}
	limitOf := quotaLimits(view)
	if q.of.servers {
		limitOf = serverLimits(view)
	}
	answer := q.lessor.Lease(box, call.Epoch, lead, limitOf, asks)
	out := &wire.QuotaAnswer{Epoch: answer.Epoch}
	for _, g := range answer.Grants {
		after := min(max(g.RetryAfter.Milliseconds(), 0), math.MaxUint32)
		out.Grants = append(out.Grants, &wire.QuotaGrant{Workspace: g.Name, Rank: uint32(g.Rank), Leased: g.Leased, AfterMs: uint32(after)})
	}
	return out
}

// quotaLimits tells what workspaces are bounded by.
func quotaLimits(view *state.State) func(rate.LimitRequest) (rate.Limit, bool) {
	return func(a rate.LimitRequest) (rate.Limit, bool) {
		if view.Fleet == nil {
			return rate.Limit{}, false
		}
		w := view.Fleet.Workspaces.ByName(a.Name)
		if w == nil {
			return rate.Limit{}, false
		}
		return w.Quota.Limit(), true
	}
}

// serverLimits tells what servers are bounded by: as agreed, else as the box that asks was told.
func serverLimits(view *state.State) func(rate.LimitRequest) (rate.Limit, bool) {
	return func(a rate.LimitRequest) (rate.Limit, bool) {
		if agreed := throttle.EffectiveLimit(view.LimitOf(a.Name), view.WarmUpLimit(a.Name)); agreed.Bounded() {
			return agreed, true
		}
		told := throttle.LimitOf(dialect.NewLimit(a.PerSecond))
		return told, told.Bounded()
	}
}

// lease asks the leader, or else another box. It implements rate.Options.Lease.
func (q *quotas) lease(ctx context.Context, epoch string, asks []rate.LimitRequest) (rate.LeaseResponse, error) {
	call := &wire.QuotaCall{Epoch: epoch, Servers: q.of.servers}
	for _, a := range asks {
		ask := &wire.QuotaAsk{Workspace: a.Name, Rank: uint32(a.Rank), Need: a.Pending, Least: a.SmallestPending, Ahead: a.Prefetch, Unused: a.Unused}
		if q.of.servers {
			ask.MilliLimit = uint32(dialect.NewLimit(a.PerSecond))
		}
		call.Asks = append(call.Asks, ask)
	}
	box := q.lessorBox()
	if box == q.self {
		return answerOf(q.answer(q.self, call)), nil
	}
	response, err := q.pool.Call(ctx, box, &wire.Request{Kind: &wire.Request_Quota{Quota: call}})
	if err == nil && response.GetQuota() == nil {
		err = Error.New("box %s gave another answer than asked for", box)
	}
	if err != nil {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.failed[box] = q.now()
		return rate.LeaseResponse{}, Error.Wrap(err)
	}
	return answerOf(response.GetQuota()), nil
}

func answerOf(a *wire.QuotaAnswer) rate.LeaseResponse {
	out := rate.LeaseResponse{Epoch: a.Epoch}
	for _, g := range a.Grants {
		grant := rate.Grant{Leased: g.Leased, RetryAfter: time.Duration(g.AfterMs) * time.Millisecond}
		out.Grants = append(out.Grants, rate.LimitGrant{Key: rate.Key{Name: g.Workspace, Rank: int(g.Rank)}, Grant: grant})
	}
	return out
}

// lessorBox returns whom to ask now.
func (q *quotas) lessorBox() string {
	age, heard := q.spread.StateAge()
	q.mu.Lock()
	defer q.mu.Unlock()
	return lessorOf(q.replica.View().Members, lessorChoice{
		self: q.self, leader: wire.BoxOf(q.spread.Leader()), leads: heard && age < leaderSure, since: q.of.since, answers: q.answers,
	})
}

// lessorChoice is what the choice of a lessor depends on, beside the boxes.
type lessorChoice struct {
	self, leader string
	leads        bool        // there surely is a leader
	since        level.Level // from which on builds can be asked
	answers      func(box string) bool
}

// lessorOf returns whom to ask: the leader, else the first of the other boxes with a disk that answered lately, so that all
// boxes that reach no leader ask the same one; else the box itself. A build that knows no such limits is asked for none: under
// a leader of such a build the boxes that know them share their part of the rate.
func lessorOf(members map[string]*wire.Member, c lessorChoice) string {
	knows := func(box string) bool { return level.Level(members[box].GetLevel()) >= c.since }
	if knows(c.leader) && (c.leads || c.answers(c.leader)) {
		return c.leader
	}
	var disks []string
	for name, m := range members {
		if m.Disk && !m.Leaving && name != c.leader && knows(name) && (name == c.self || c.answers(name)) {
			disks = append(disks, name)
		}
	}
	if len(disks) == 0 {
		return c.self
	}
	return slices.Min(disks)
}

func (q *quotas) answers(box string) bool {
	at, failed := q.failed[box]
	return !failed || q.now()-at > passOver
}
