// Package control implements the tasks that only the leading box performs: it monitors the model
// servers, decides placement, issues orders, repairs the voters, and maintains the list of boxes.
//
// Rules for orders:
//
//  1. An order is committed before it is sent, and sent only while the lease holds. The connection
//     checks the lease again right before it writes the bytes.
//  2. An order's id is its index in the log, so ids rise across leaders. The id is the fencing
//     token.
//  3. An order without an answer is retried under the same id if the server checks fences. The
//     server's answer closes it.
//  4. If the server does not check fences, an order is sent once. Only the answer that a load is
//     done closes it at once. Otherwise it stays open, and counted, until no order can arrive any
//     more. Then the server's state, read after that, closes it.
//  5. A new leader treats all open orders as sent and unanswered, and gives a server no order
//     within OrderPause of an earlier leader's (pause.go).
//  6. An order to a server that counts orders names the count that the server had before it. It is
//     retried under the same count until there is an answer: of all its copies, late ones
//     included, the server accepts at most one. The server's report, with a higher count, closes
//     it.
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
	"leverdrum/placement"
	"leverdrum/record"
	"leverdrum/replica"
	"leverdrum/spread"
	"leverdrum/state"
	"leverdrum/wire"
)

const (
	// stepInterval is the time between two periodic steps.
	stepInterval = 250 * time.Millisecond
	// A triggered step follows the previous one after stepPauseFactor times the time that the
	// previous one worked, within these bounds. Each order and each waiting request triggers a
	// step.
	minStepPause    = 5 * time.Millisecond
	maxStepPause    = 100 * time.Millisecond
	stepPauseFactor = 4
	// stateTimeout bounds reading the state of one server.
	stateTimeout = time.Second
	// orderTimeout bounds one attempt of an order; loads take long.
	orderTimeout = 2 * time.Minute
	// proposeTimeout bounds waiting for a command to be committed.
	proposeTimeout = 3 * time.Second
	// downAfter is the time without a state report after which a server counts as down.
	downAfter = 3 * time.Second
	// boxRemovalTimeout is the time without updates after which a box is removed from the list,
	// provided that updates arrive from a majority of all boxes meanwhile.
	boxRemovalTimeout = time.Minute
	// expectedDemandTTL is how long a new leader uses the demand that the fleet file expects for
	// models without requests so far.
	expectedDemandTTL = 30 * time.Second
	// orderRetryDelay is the wait before an order is retried (3).
	orderRetryDelay = 500 * time.Millisecond
	// sessionRetryInterval is the time between two attempts to contact unresponsive boxes,
	// sessionRetryAfter the time without updates before the first.
	sessionRetryInterval = time.Second
	sessionRetryAfter    = 2500 * time.Millisecond
	// storeBurst is how many loads may start at once when none started recently.
	storeBurst = 3
)

// Options configure a Controller.
type Options struct {
	Replica *replica.Replica
	Spread  *spread.Distributor
	Engines func(name, address string) engine.Server
	// Counting connects to servers that count orders; nil if there are none.
	Counting engine.CountedOrderClient
	// InBackoff reports whether a server asked this box for a backoff that is still in effect; if
	// nil, no server did.
	InBackoff func(server string) bool
	// Slowness returns the factor by which each server takes longer than the average one, by id, for
	// placement. If it is nil or returns nil, speeds are unknown.
	Slowness func() map[string]float64
	// Failing returns the servers that all boxes judge failing by the outcomes of requests, by id, and for how long. If it
	// is nil, none is.
	Failing func() map[string]time.Duration
	// Holder identifies this box in orders.
	Holder string
	// OrderPause is the minimum time between the orders of two leaders to a server (5).
	OrderPause time.Duration
	// DemandSettleTime is how long a new leader waits for boxes to report demand.
	DemandSettleTime time.Duration
	// VotersNeedDisks keeps boxes without a disk from voting.
	VotersNeedDisks bool
	// NeverLeads is set if this box does not vote. It then keeps none of the state that a leader
	// needs.
	NeverLeads        bool
	TerminatedServers func() map[string]bool
	// OpenSession opens a session to a box; nil if boxes find the cluster on their own.
	OpenSession  func(ctx context.Context, box string)
	WantedVoters int
	RepairAfter  time.Duration
	// UpgradeSettleTime is how long all boxes must support a level before the cluster is raised to
	// it.
	UpgradeSettleTime time.Duration
	Records           *record.History
	Meters            *meter.Meters
	Log               *zap.Logger
}

// Controller runs the leader's tasks while its box leads.
type Controller struct {
	opts Options

	mu              sync.Mutex
	reports         map[string]report
	readsInProgress map[string]bool
	// quarantine holds when this leader learned of a server's restart, by server and incarnation.
	quarantine       map[string]time.Time
	ordersInProgress map[uint64]bool
	shortages        map[string]string
	voters           []string // last settled set that this leader saw
	leading          bool
	term             uint64 // in which the box leads
	leadingSince     time.Time
	limiter          *rate.Limiter

	contacts    map[string]*contact   // announced servers, by id
	orderCounts map[string]uint64     // orders accepted by servers, if known (6)
	suspicions  map[string]*suspicion // of servers, see unreachable.go
	// limitChangedAt is when a server's limit was last committed.
	limitChangedAt    map[string]time.Time
	backoffs          map[string]map[string]time.Time     // expiry of boxes' reports of long backoffs, by server and box
	lastOrders        map[string]lastOrder                // by server, see pause.go; nil before the first check
	withoutCopySince  map[string]time.Time                // by model, see idle.go
	lastRequested     map[string]time.Time                // by model
	anyRequestSeen    bool                                // this leader has seen demand for a model
	wanted            map[placement.AwaitedItem]time.Time // models and adapters that requests wait for
	crowded           crowdedAdapters                     // reported by boxes, see crowded.go
	longTermRates     longTermRates
	wake              chan struct{}
	sessionsRetriedAt time.Time     // when unresponsive boxes were last contacted
	boxesCheckedAt    time.Time     // when checkBoxes last ran
	expiryCheckedAt   time.Time     // when expireServers last ran
	ordersWatchedAt   time.Time     // when watchOrders last ran
	proposeWait       time.Duration // time that the current step waited for commits

	inFlight            inFlightOrders               // orders that may still arrive at servers, see inflight.go
	incarnationSeenAt   map[string]time.Time         // when this box first saw each incarnation that started while an order was open
	inFlightInitialized bool                         // inFlight contains what earlier leaders may have sent
	levelKnownSince     time.Time                    // when all listed boxes began to support the next level
	openLoads           map[uint64]*openLoad         // by order, see loads.go
	loadedItems         map[crasher.Fingerprint]bool // items that were loaded under this leader
	suspects            map[crasher.Key]trackedSuspect
	suspectsCheckedAt   time.Time // when releaseSuspects last ran
	versions            trackedVersions
}

type report struct {
	state *engine.State
	began time.Time // start of the read
}

// New returns a Controller. Run starts it.
func New(opts Options) *Controller {
	return &Controller{
		opts: opts, reports: map[string]report{}, readsInProgress: map[string]bool{}, quarantine: map[string]time.Time{},
		ordersInProgress: map[uint64]bool{}, shortages: map[string]string{},
		contacts: map[string]*contact{}, withoutCopySince: map[string]time.Time{}, lastRequested: map[string]time.Time{}, suspicions: map[string]*suspicion{}, limitChangedAt: map[string]time.Time{}, backoffs: map[string]map[string]time.Time{}, orderCounts: map[string]uint64{}, wanted: map[placement.AwaitedItem]time.Time{}, crowded: newCrowdedAdapters(), incarnationSeenAt: map[string]time.Time{}, openLoads: map[uint64]*openLoad{}, loadedItems: map[crasher.Fingerprint]bool{}, wake: make(chan struct{}, 1),
	}
}

// Run performs the leader's tasks whenever the box leads, until the context ends.
func (c *Controller) Run(ctx context.Context) {
	if c.opts.NeverLeads {
		<-ctx.Done()
		return
	}
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		changed := c.opts.Replica.Changed()
		began := time.Now()
		c.proposeWait = 0
		c.step(ctx)
		wait.For(ctx, pauseAfter(time.Since(began)-c.proposeWait))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
		case <-c.wake:
		}
	}
}

// pauseAfter returns the delay before the next step, given how long the previous one worked,
// excluding its waits for commits.
func pauseAfter(worked time.Duration) time.Duration {
	return min(maxStepPause, max(minStepPause, stepPauseFactor*worked))
}

func (c *Controller) step(ctx context.Context) {
	_, hasLease := c.opts.Replica.Lease()
	status := c.opts.Replica.Status()
	leads := hasLease && status.Established
	// A box that was frozen may lead again in another term without having noticed that it did not
	// lead in between. It must drop what it knew before.
	if leads != c.leading || leads && status.Term != c.term {
		c.term = status.Term
		c.setLeading(leads)
	}
	if !leads {
		c.watchOrdersIfDue(c.opts.Replica.View(), stepInterval)
		return
	}
	c.checkBoxes(ctx)
	c.raiseLevel(ctx, time.Now())
	c.expireServers(ctx, c.opts.Replica.View())
	c.releaseSuspects(ctx, c.opts.Replica.View(), time.Now())
	c.retireVersions(ctx, c.opts.Replica.View(), time.Now())
	c.watchLoads(ctx, c.opts.Replica.View(), time.Now())
	view := c.opts.Replica.View()
	if view.Fleet == nil {
		return
	}
	c.readStates(ctx, view)
	c.noteServers(ctx, c.opts.Replica.View())
	// Again, with what was committed meanwhile: decisions use the newest state.
	watchInterval := time.Duration(0)
	if time.Since(c.leadingSince) > c.opts.OrderPause { // only boxes that may lead later need it
		watchInterval = stepInterval
	}
	c.watchOrdersIfDue(c.opts.Replica.View(), watchInterval)
	c.decide(ctx, c.opts.Replica.View())
	c.driveOrders(ctx, c.opts.Replica.View())
}

// watchOrdersIfDue calls watchOrders unless it was called recently. watchOrders iterates over all
// servers. An order that is seen late counts as issued late, which only holds orders back for
// longer.
func (c *Controller) watchOrdersIfDue(view *state.State, interval time.Duration) {
	now := time.Now()
	if c.lastOrders != nil && now.Sub(c.ordersWatchedAt) < interval {
		return
	}
	c.ordersWatchedAt = now
	c.watchOrders(view, now)
}

// checkBoxes maintains the voters and the list of boxes. It iterates over all boxes, and what it
// observes changes within seconds, so it does not run for each order that triggers a step.
func (c *Controller) checkBoxes(ctx context.Context) {
	if time.Since(c.boxesCheckedAt) < stepInterval {
		return
	}
	c.boxesCheckedAt = time.Now()
	c.repairVoters()
	c.removeUnresponsiveBoxes(ctx)
	c.contactUnresponsiveBoxes(ctx)
}

// setLeading records that the box started or stopped leading.
func (c *Controller) setLeading(leads bool) {
	c.leading = leads
	value := 0.0
	if leads {
		value = 1
		c.mu.Lock()
		c.leadingSince = time.Now()
		c.reports = map[string]report{}
		c.quarantine = map[string]time.Time{}
		c.contacts = map[string]*contact{}
		c.suspicions = map[string]*suspicion{}
		c.limitChangedAt = map[string]time.Time{}
		c.backoffs = map[string]map[string]time.Time{}
		c.anyRequestSeen = false
		c.withoutCopySince, c.lastRequested = map[string]time.Time{}, map[string]time.Time{}
		c.orderCounts = map[string]uint64{}
		c.wanted = map[placement.AwaitedItem]time.Time{}
		c.crowded = newCrowdedAdapters()
		c.loadedItems = map[crasher.Fingerprint]bool{}
		c.inFlightInitialized = false
		c.mu.Unlock()
		c.suspects, c.openLoads, c.versions = nil, map[uint64]*openLoad{}, trackedVersions{}
		c.longTermRates.reset()
		c.opts.Meters.Count(meter.Elections).Inc()
	}
	c.opts.Meters.Gauge(meter.IsLeader).Set(value)
	event.LeadershipChanged.Log(c.opts.Log, zap.Bool("leads", leads), zap.Uint64("term", c.opts.Replica.Status().Term))
}

// leadingFor returns how long the box has led, for goroutines other than the one that calls
// setLeading.
func (c *Controller) leadingFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.leadingSince)
}

func (c *Controller) propose(ctx context.Context, cmd *wire.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return c.opts.Replica.Propose(ctx, cmd)
}

// driveOrders starts a goroutine for each open order that has none.
func (c *Controller) driveOrders(ctx context.Context, view *state.State) {
	for id, o := range view.Orders.All() {
		s := view.Server(o.Server)
		if c.inherited(o) && time.Since(c.leadingSince) < c.opts.OrderPause && !(s != nil && s.Kind.CountsOrders) { // (5)
			continue
		}
		c.mu.Lock()
		inProgress := c.ordersInProgress[id]
		if !inProgress && s != nil {
			c.ordersInProgress[id] = true
		}
		c.mu.Unlock()
		if inProgress || s == nil {
			continue
		}
		go c.finish(ctx, o, s)
	}
}
