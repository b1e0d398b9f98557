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
	// lessorRetryDelay is how long a box that did not respond is not asked for leases again. Each
	// call to it would delay the waiting requests by the full call timeout.
	lessorRetryDelay = 500 * time.Millisecond
	// maxLeaderStateAge is the age of the last state update up to which a leader certainly exists: a
	// parent holds a follow request for 400 ms. While a leader is merely slow, no second lessor
	// may act beside it, or both lease their share for as long as it is slow.
	maxLeaderStateAge = 700 * time.Millisecond
)

// limitKind describes one kind of shared limits.
type limitKind struct {
	// servers selects the limits that backend servers announce; otherwise the limits are the
	// quotas of workspaces.
	servers bool
	// minLevel is the first level whose builds lease these limits.
	minLevel level.Level
	// window is the time over which a rate is compared with its limit.
	window time.Duration
}

// serverWindow is the time over which a server's rate is compared with its limit.
const serverWindow = 4 * time.Second

// sharedLimits enforces limits of one kind that apply to all boxes together: it requests leases, and grants leases to
// other boxes.
type sharedLimits struct {
	kind    limitKind
	self    string
	replica *replica.Replica
	spread  *spread.Distributor
	pool    *peer.Pool
	lessor  *rate.Lessor
	limiter *rate.Limiter
	now     func() time.Duration

	mu       sync.Mutex
	failedAt map[string]time.Duration // boxes that did not respond, and when
}

func newSharedLimits(of limitKind, self *wire.Member, r *replica.Replica, s *spread.Distributor, pool *peer.Pool) *sharedLimits {
	now := clock.New().Now
	q := &sharedLimits{kind: of, self: self.Box, replica: r, spread: s, pool: pool, now: now, failedAt: map[string]time.Duration{}}
	q.lessor = rate.NewLessor(state.ProcessID(self), now)
	q.limiter = rate.NewLimiter(rate.Options{
		Lease: q.requestLeases, Now: now, Window: of.window,
		Boxes: func() int { return len(r.View().Members) },
	})
	return q
}

// grantLeases grants leases to a box, which may be this one. A box without a valid leader lease does not act as the
// leader: another may lead by the time it answers.
func (q *sharedLimits) grantLeases(box string, call *wire.QuotaCall) *wire.QuotaAnswer {
	view := q.replica.View()
	_, leads := q.replica.Lease()
	leadership := rate.Leadership{IsLeader: leads, Boxes: len(view.Members)}
	if leads {
		leadership.Term = q.replica.Status().Term
	}
	requests := make([]rate.LimitRequest, 0, len(call.Asks))
	for _, a := range call.Asks {
		requests = append(requests, rate.LimitRequest{
			Key: rate.Key{Name: a.Workspace, Rank: int(a.Rank)}, PerSecond: dialect.Limit(a.MilliLimit).PerSecond(),
			LeaseRequest: rate.LeaseRequest{Pending: a.Need, SmallestPending: a.Least, Prefetch: a.Ahead, Unused: a.Unused},
		})
	}
	limitOf := quotaLimits(view)
	if q.kind.servers {
		limitOf = serverLimits(view)
	}
	answer := q.lessor.Lease(box, call.Epoch, leadership, limitOf, requests)
	out := &wire.QuotaAnswer{Epoch: answer.Epoch}
	for _, g := range answer.Grants {
		after := min(max(g.RetryAfter.Milliseconds(), 0), math.MaxUint32)
		out.Grants = append(out.Grants, &wire.QuotaGrant{Workspace: g.Name, Rank: uint32(g.Rank), Leased: g.Leased, AfterMs: uint32(after)})
	}
	return out
}

// quotaLimits returns a function that returns the quotas of workspaces.
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

// serverLimits returns a function that returns the limits of servers: from the committed state, else as last reported
// by the server to the requesting box.
func serverLimits(view *state.State) func(rate.LimitRequest) (rate.Limit, bool) {
	return func(a rate.LimitRequest) (rate.Limit, bool) {
		if agreed := throttle.EffectiveLimit(view.LimitOf(a.Name), view.WarmUpLimit(a.Name)); agreed.Bounded() {
			return agreed, true
		}
		reported := throttle.LimitOf(dialect.NewLimit(a.PerSecond))
		return reported, reported.Bounded()
	}
}

// requestLeases requests leases from the leader, or else from another box. It implements rate.Options.Lease.
func (q *sharedLimits) requestLeases(ctx context.Context, epoch string, asks []rate.LimitRequest) (rate.LeaseResponse, error) {
	call := &wire.QuotaCall{Epoch: epoch, Servers: q.kind.servers}
	for _, a := range asks {
		ask := &wire.QuotaAsk{Workspace: a.Name, Rank: uint32(a.Rank), Need: a.Pending, Least: a.SmallestPending, Ahead: a.Prefetch, Unused: a.Unused}
		if q.kind.servers {
			ask.MilliLimit = uint32(dialect.NewLimit(a.PerSecond))
		}
		call.Asks = append(call.Asks, ask)
	}
	box := q.lessorBox()
	if box == q.self {
		return decodeAnswer(q.grantLeases(q.self, call)), nil
	}
	response, err := q.pool.Call(ctx, box, &wire.Request{Kind: &wire.Request_Quota{Quota: call}})
	if err == nil && response.GetQuota() == nil {
		err = Error.New("box %s returned an unexpected response type", box)
	}
	if err != nil {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.failedAt[box] = q.now()
		return rate.LeaseResponse{}, Error.Wrap(err)
	}
	return decodeAnswer(response.GetQuota()), nil
}

func decodeAnswer(a *wire.QuotaAnswer) rate.LeaseResponse {
	out := rate.LeaseResponse{Epoch: a.Epoch}
	for _, g := range a.Grants {
		grant := rate.Grant{Leased: g.Leased, RetryAfter: time.Duration(g.AfterMs) * time.Millisecond}
		out.Grants = append(out.Grants, rate.LimitGrant{Key: rate.Key{Name: g.Workspace, Rank: int(g.Rank)}, Grant: grant})
	}
	return out
}

// lessorBox returns the box to request leases from now.
func (q *sharedLimits) lessorBox() string {
	age, heard := q.spread.StateAge()
	q.mu.Lock()
	defer q.mu.Unlock()
	return chooseLessor(q.replica.View().Members, lessorChoice{
		self: q.self, leader: wire.BoxOf(q.spread.Leader()), leaderCertain: heard && age < maxLeaderStateAge, minLevel: q.kind.minLevel, responsive: q.responsive,
	})
}

// lessorChoice is the input to chooseLessor besides the member list.
type lessorChoice struct {
	self, leader  string
	leaderCertain bool        // a leader certainly exists
	minLevel      level.Level // first level whose builds grant such leases
	responsive    func(box string) bool
}

// chooseLessor returns the box to request leases from: the leader, else the first by name of the other boxes with a disk
// that have not failed to respond recently, so that all boxes that reach no leader choose the same one; else the box itself.
// Builds that do not support such limits are never chosen: under a leader with such a build, the boxes that support them
// divide their share of the rate among themselves.
func chooseLessor(members map[string]*wire.Member, c lessorChoice) string {
	knows := func(box string) bool { return level.Level(members[box].GetLevel()) >= c.minLevel }
	if knows(c.leader) && (c.leaderCertain || c.responsive(c.leader)) {
		return c.leader
	}
	var disks []string
	for name, m := range members {
		if m.Disk && !m.Leaving && name != c.leader && knows(name) && (name == c.self || c.responsive(name)) {
			disks = append(disks, name)
		}
	}
	if len(disks) == 0 {
		return c.self
	}
	return slices.Min(disks)
}

func (q *sharedLimits) responsive(box string) bool {
	at, failed := q.failedAt[box]
	return !failed || q.now()-at > lessorRetryDelay
}
