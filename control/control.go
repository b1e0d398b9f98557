// Package control is what only the leading box does: it watches the model
// servers, decides placement, gives orders, repairs the voters, and keeps the
// list of boxes.
//
// Rules for orders:
//
//  1. An order is agreed before it is sent, and sent only while the lease
//     holds; the connection asks again right before the bytes leave.
//  2. An order's id is its index in the log, so ids rise across leaders; it is
//     the fence.
//  3. To a server that checks fences an order without an answer is sent again
//     under the same id. The server's answer closes it.
//  4. To a server that does not, an order is sent once. Only the answer that a
//     load was done closes it at once. Anything else stays open, and counted,
//     until no order can arrive any more, and then the server's state, read
//     after that, closes it.
//  5. A new leader treats all open orders as sent and unanswered, and gives a server
//     none within OrderPause of an earlier leader's (pause.go).
//  6. To a server that counts orders an order names the count that the server
//     had before it. It is sent again under the same count until there is an
//     answer: of all its copies, late ones included, the server takes at most
//     one. The server's report, with a higher count, closes it.
package control

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"leverdrum/crasher"
	"leverdrum/engine"
	"leverdrum/event"
	"leverdrum/internal/wait"
	"leverdrum/meter"
	"leverdrum/record"
	"leverdrum/replica"
	"leverdrum/spread"
	"leverdrum/state"
	"leverdrum/wire"
)

const (
	// round is the time between two looks at everything.
	round = 250 * time.Millisecond
	// A round that something set off follows the one before by roundsShare times as
	// long as that worked, within these bounds: each order and each request that waits
	// sets one off.
	roundsLeast = 5 * time.Millisecond
	roundsMost  = 100 * time.Millisecond
	roundsShare = 4
	// stateTimeout bounds reading one server's state.
	stateTimeout = time.Second
	// orderTimeout bounds one sending of an order; loads take long.
	orderTimeout = 2 * time.Minute
	// proposeTimeout bounds waiting for agreement.
	proposeTimeout = 3 * time.Second
	// downAfter is the silence after which a server counts as down.
	downAfter = 3 * time.Second
	// forgetBox is the silence after which a box is taken off the list, if a
	// majority of all boxes is heard meanwhile.
	forgetBox = time.Minute
	// expectedFor is how long a new leader takes the fleet file's word for the
	// demand of models that nobody asked for yet.
	expectedFor = 30 * time.Second
	// resendPause is the wait before an order is sent again (3).
	resendPause = 500 * time.Millisecond
	// meetEvery is the time between two calls on a silent box, meetAfter the silence
	// before the first.
	meetEvery = time.Second
	meetAfter = 2500 * time.Millisecond
	// storeBurst is how many loads may begin at once when none began lately.
	storeBurst = 3
)

// Options make a Controller.
type Options struct {
	Replica *replica.Replica
	Spread  *spread.Distributor
	Engines func(name, address string) engine.Server
	// Counting speaks to servers that count orders; nil when there are none.
	Counting engine.Counting
	// InBackoff reports whether a server asked this box for a rest that lasts; nil: none does.
	InBackoff func(server string) bool
	// Holder names this box in orders.
	Holder string
	// OrderPause is the least time between the orders of two leaders to a server (5).
	OrderPause time.Duration
	// DemandSettleTime is how long a new leader waits for demand to be reported.
	DemandSettleTime time.Duration
	// VotersNeedDisks keeps boxes without a disk from voting.
	VotersNeedDisks bool
	// NeverLeads: this box does not vote, so that there is nothing that it would have to know when it leads.
	NeverLeads        bool
	TerminatedServers func() map[string]bool
	// OpenSession opens a session to a box; nil where boxes find the cluster by themselves.
	OpenSession  func(ctx context.Context, box string)
	WantedVoters int // voters
	RepairAfter  time.Duration
	// UpgradeSettleTime is how long all boxes know a level before it is raised to.
	UpgradeSettleTime time.Duration
	Records           *record.Book
	Meters            *meter.Meters
	Log               *zap.Logger
}

// Controller acts while its box leads.
type Controller struct {
	opts Options

	mu      sync.Mutex
	reports map[string]report
	reading map[string]bool
	// quarantine holds since when this leader knows of a server's restart, by
	// server and incarnation.
	quarantine map[string]time.Time
	sending    map[uint64]bool
	short      map[string]string
	voters     []string // settled, as this leader saw them last
	leading    bool
	term       uint64 // of the leadership
	ledSince   time.Time
	limiter    *rate.Limiter

	heard  map[string]*heard // announced servers, by id
	counts map[string]uint64 // orders that servers have taken, where known (6)
	doubts map[string]*doubt // of servers, see refusing.go
	// limitedAt is when a server's limit was agreed last.
	limitedAt map[string]time.Time
	resting   map[string]map[string]time.Time // until when boxes count as told of a server's long rest, by server and box
	ordered   map[string]ordered              // by server, see pause.go; nil before the first look
	lacking   map[string]time.Time            // since when models have no copy, see patience.go
	askedAt   map[string]time.Time            // when models were asked for last
	anyAsked  bool                            // this leader has heard of a request for a model
	wanted    map[string]time.Time            // models and adapters that requests wait for
	steady    steady
	kick      chan struct{}
	metAt     time.Time     // when silent boxes were called on last
	boxesAt   time.Time     // when the boxes were looked at last
	expiredAt time.Time     // when silent servers were looked for last
	watchedAt time.Time     // when orders were watched last
	waited    time.Duration // for agreement, in the step under way

	arrivals   arrivals                     // orders that may still arrive at servers, see arrivals.go
	lives      map[string]time.Time         // when this box first saw each life that began while an order was open
	looked     bool                         // arrivals hold what earlier leaders may have sent
	knownSince time.Time                    // since when all listed boxes know the next level
	loads      map[uint64]*openLoad         // by order, see loads.go
	loaded     map[crasher.Fingerprint]bool // items that this leader saw loaded
	suspects   map[crasher.Key]watched
	suspectsAt time.Time // when they were looked at last
}

type report struct {
	state *engine.State
	began time.Time // when the reading began
}

// New returns a controller; Run makes it work.
func New(opts Options) *Controller {
	return &Controller{
		opts: opts, reports: map[string]report{}, reading: map[string]bool{}, quarantine: map[string]time.Time{},
		sending: map[uint64]bool{}, short: map[string]string{},
		heard: map[string]*heard{}, lacking: map[string]time.Time{}, askedAt: map[string]time.Time{}, doubts: map[string]*doubt{}, limitedAt: map[string]time.Time{}, resting: map[string]map[string]time.Time{}, counts: map[string]uint64{}, wanted: map[string]time.Time{}, lives: map[string]time.Time{}, loads: map[uint64]*openLoad{}, loaded: map[crasher.Fingerprint]bool{}, kick: make(chan struct{}, 1),
	}
}

// Run acts whenever the box leads, until the context ends.
func (c *Controller) Run(ctx context.Context) {
	if c.opts.NeverLeads {
		<-ctx.Done()
		return
	}
	ticker := time.NewTicker(round)
	defer ticker.Stop()
	for {
		changed := c.opts.Replica.Changed()
		began := time.Now()
		c.waited = 0
		c.step(ctx)
		wait.For(ctx, pauseAfter(time.Since(began)-c.waited))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
		case <-c.kick:
		}
	}
}

// pauseAfter is the time to the next step behind one that worked for a time; what it waited
// for others does not count.
func pauseAfter(worked time.Duration) time.Duration {
	return min(roundsMost, max(roundsLeast, roundsShare*worked))
}

func (c *Controller) step(ctx context.Context) {
	_, held := c.opts.Replica.Lease()
	status := c.opts.Replica.Status()
	leads := held && status.Established
	// A box that was frozen may lead again in another term without having seen
	// that it did not lead between: it must forget what it knew then.
	if leads != c.leading || leads && status.Term != c.term {
		c.term = status.Term
		c.turn(leads)
	}
	if !leads {
		c.watchOrdersNow(c.opts.Replica.View(), round)
		return
	}
	c.lookAtBoxes(ctx)
	c.raiseLevel(ctx, time.Now())
	c.expire(ctx, c.opts.Replica.View())
	c.releaseSuspects(ctx, c.opts.Replica.View(), time.Now())
	c.watchLoads(ctx, c.opts.Replica.View(), time.Now())
	view := c.opts.Replica.View()
	if view.Fleet == nil {
		return
	}
	c.readStates(ctx, view)
	c.noteServers(ctx, c.opts.Replica.View())
	// Again, with what was agreed meanwhile: it is decided on the newest state.
	every := time.Duration(0)
	if time.Since(c.ledSince) > c.opts.OrderPause { // only boxes that lead later need it
		every = round
	}
	c.watchOrdersNow(c.opts.Replica.View(), every)
	c.decide(ctx, c.opts.Replica.View())
	c.drive(ctx, c.opts.Replica.View())
}

// watchOrdersNow watches orders unless that was done lately. It goes over all servers; what it sees late counts as made
// late, which only holds orders back for longer.
func (c *Controller) watchOrdersNow(view *state.State, every time.Duration) {
	now := time.Now()
	if c.ordered != nil && now.Sub(c.watchedAt) < every {
		return
	}
	c.watchedAt = now
	c.watchOrders(view, now)
}

// lookAtBoxes keeps voters and the list of boxes. That goes over all boxes, and what it sees
// changes in seconds: it is not done for each order that sets off a step.
func (c *Controller) lookAtBoxes(ctx context.Context) {
	if time.Since(c.boxesAt) < round {
		return
	}
	c.boxesAt = time.Now()
	c.repairVoters()
	c.forgetBoxes(ctx)
	c.meetSilent(ctx)
}

// turn notes that the box began or ceased to lead.
func (c *Controller) turn(leads bool) {
	c.leading = leads
	value := 0.0
	if leads {
		value = 1
		c.mu.Lock()
		c.ledSince = time.Now()
		c.reports = map[string]report{}
		c.quarantine = map[string]time.Time{}
		c.heard = map[string]*heard{}
		c.doubts = map[string]*doubt{}
		c.limitedAt = map[string]time.Time{}
		c.resting = map[string]map[string]time.Time{}
		c.anyAsked = false
		c.lacking, c.askedAt = map[string]time.Time{}, map[string]time.Time{}
		c.counts = map[string]uint64{}
		c.wanted = map[string]time.Time{}
		c.loaded = map[crasher.Fingerprint]bool{}
		c.looked = false
		c.mu.Unlock()
		c.suspects, c.loads = nil, map[uint64]*openLoad{}
		c.steady.forget()
		c.opts.Meters.Count(meter.Elections).Inc()
	}
	c.opts.Meters.Gauge(meter.Leads).Set(value)
	event.LeadershipChanged.Log(c.opts.Log, zap.Bool("leads", leads), zap.Uint64("term", c.opts.Replica.Status().Term))
}

// ledFor is how long the box has led, for goroutines other than the one that turns.
func (c *Controller) ledFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.ledSince)
}

func (c *Controller) propose(ctx context.Context, cmd *wire.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return c.opts.Replica.Propose(ctx, cmd)
}

// drive sees to it that each open order comes to its end.
func (c *Controller) drive(ctx context.Context, view *state.State) {
	for id, o := range view.Orders.All() {
		s := view.Server(o.Server)
		if c.inherited(o) && time.Since(c.ledSince) < c.opts.OrderPause && !(s != nil && s.Kind.CountsOrders) { // (5)
			continue
		}
		c.mu.Lock()
		busy := c.sending[id]
		if !busy && s != nil {
			c.sending[id] = true
		}
		c.mu.Unlock()
		if busy || s == nil {
			continue
		}
		go c.finish(ctx, o, s)
	}
}
