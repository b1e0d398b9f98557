// Package box assembles the components of one box and runs them until the box is
// stopped. The daemon is a thin wrapper around it.
package box

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"leverdrum/admin"
	"leverdrum/consensus"
	"leverdrum/control"
	"leverdrum/engine"
	"leverdrum/entry"
	"leverdrum/event"
	"leverdrum/gateway"
	"leverdrum/intake"
	"leverdrum/internal/build"
	"leverdrum/internal/clock"
	"leverdrum/internal/framing"
	"leverdrum/internal/membudget"
	"leverdrum/keyed"
	"leverdrum/level"
	"leverdrum/loadshare"
	"leverdrum/meter"
	"leverdrum/origin"
	"leverdrum/peer"
	"leverdrum/platform"
	"leverdrum/proxy"
	"leverdrum/pushback"
	"leverdrum/record"
	"leverdrum/replica"
	"leverdrum/route"
	"leverdrum/settings"
	"leverdrum/shutdown"
	"leverdrum/spread"
	"leverdrum/state"
	"leverdrum/throttle"
	"leverdrum/wal"
	"leverdrum/wire"
)

const (
	// recordLimit is the number of decisions of each kind that a box keeps.
	recordLimit = 4096
	// readHeaderTimeout bounds reading the headers of operators' requests.
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 64 << 10
	// idleTimeout bounds how long a caller's connection may be idle.
	idleTimeout = 2 * time.Minute
)

// Box is one running box.
type Box struct {
	settings   *settings.Settings
	log        *zap.Logger
	meters     *meter.Meters
	records    *record.History
	clock      *clock.Clock // starts with the process
	store      *wal.Store
	id         *identity
	pool       *peer.Pool
	peers      *peer.Server
	components atomic.Pointer[components]
	stopping   atomic.Bool
	refusing   atomic.Bool // further requests of callers are refused, since the box is stopping
	shutdown   *shutdown.Plan
	// routesInitialized is set once the routes include the state that was in force when
	// the box first became current.
	routesInitialized atomic.Bool

	operatorHTTP *http.Server
	entryHTTP    *http.Server
	// entryListener accepts the connections of entryHTTP.
	entryListener *intake.Listener
	requests      atomic.Int64 // of callers, in flight
	// auxiliaryHTTP are the optional servers: readiness and platform.
	auxiliaryHTTP []*http.Server
	// callers are contacted if no box named in the settings is running.
	callers callers
	// invalidCallLog limits the logging of calls that name no server.
	invalidCallLog logLimiter
	// intakeLog limits the logging of refused connections.
	intakeLog logLimiter
	// formLog limits the logging of boxes with other first members.
	formLog logLimiter
	// memoryLog limits the logging of what finds no memory.
	memoryLog logLimiter
	// loadLog limits the logging of ignored input of the load exchange.
	loadLog logLimiter
	// reloadedBoxes are the box addresses of the last settings reload, nil before one.
	reloadedBoxes atomic.Pointer[map[string]string]
	fatal         chan error
	cancel        context.CancelFunc
	wg            sync.WaitGroup
}

// components run once the box belongs to a cluster.
type components struct {
	regions      map[string]string // data hall -> region, from the settings
	replica      *replica.Replica
	spread       *spread.Distributor
	directory    *route.Directory
	entry        *entry.Entry
	admin        *admin.Admin
	control      *control.Controller
	claims       *keyed.ClaimReplica
	gateway      *gateway.Gateway
	platform     http.Handler
	notices      chan gateway.Notice
	crashes      *crashReporter
	quotas       *sharedLimits
	serverLimits *sharedLimits // limits that servers announce
	throttle     *throttle.Throttle
	pushback     *pushback.Registry
	drains       *drainReporter
	origins      *origin.Registry
	responses    *membudget.Budget // for what backend servers send
	sharer       *loadshare.Sharer // nil if the settings do not share load
	// ackTimeouts bound how long an apply waits for the boxes.
	ackTimeouts spread.AckTimeouts
}

// Start opens the data folder and the listeners, and returns once the box listens.
// The box runs in the background until Stop or Kill; Fatal reports an
// unrecoverable error.
func Start(s *settings.Settings, tls peer.TLS, log *zap.Logger) (*Box, error) {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Box{
		settings: s, log: log, meters: meter.New(), records: record.NewHistory(recordLimit), clock: clock.New(),
		fatal: make(chan error, 1), cancel: cancel, shutdown: shutdown.New(),
	}
	b.meters.Gauge(meter.BuildInfo, build.Name(), strconv.Itoa(int(level.Newest))).Set(1)
	if err := b.open(tls); err != nil {
		cancel()
		return nil, err
	}
	b.wg.Go(func() { b.run(ctx) })
	return b, nil
}

// open opens the data folder and all listeners.
func (b *Box) open(tls peer.TLS) error {
	if b.settings.IsControl() {
		store, err := wal.Open(wal.Options{
			Folder: b.settings.DataFolder, Box: b.settings.Box, Cluster: b.settings.Cluster,
			Limit: b.settings.DataLimit, Incarnation: newIncarnation(),
		})
		if err != nil {
			return Error.Wrap(err)
		}
		b.store = store
		if store.Loaded().Torn {
			event.TornRecord.Log(b.log)
		}
	}
	b.id = newIdentity(b.settings, b.store)
	if err := b.id.openForming(b.settings); err != nil {
		return err
	}
	b.pool = peer.NewPool(b.id, tls, b.settings.PeerListen, b.lookup, b.meters)
	l, err := net.Listen("tcp", b.settings.PeerListen)
	if err != nil {
		return Error.Wrap(err)
	}
	b.peers = peer.Serve(l, b.id, tls, b, b.meters)
	return b.listenHTTP(tls)
}

func (b *Box) listenHTTP(tls peer.TLS) error {
	b.operatorHTTP = &http.Server{
		Handler: http.HandlerFunc(b.serveOperator), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, TLSConfig: tls.Server(),
	}
	if err := b.serveHTTP(b.operatorHTTP, b.settings.OperatorListen); err != nil {
		return err
	}
	if err := b.listenPlatform(); err != nil {
		return err
	}
	if !b.settings.IsEntry() {
		return nil
	}
	b.entryHTTP = &http.Server{
		Handler: intake.Handler(http.HandlerFunc(b.serveEntry)), ReadHeaderTimeout: b.settings.HeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return intake.ConnContext(framing.ConnContext(ctx, c), c)
		},
	}
	l, err := net.Listen("tcp", b.settings.EntryListen)
	if err != nil {
		return Error.Wrap(err)
	}
	b.entryListener = intake.NewListener(l, b.settings.LinkMbps, b.recordConnection)
	b.serveListener(b.entryHTTP, b.entryListener)
	return nil
}

// recordConnection counts a new connection of a caller, and logs that connections are refused.
func (b *Box) recordConnection(v intake.Verdict) {
	b.meters.Count(meter.Connections, v.String()).Inc()
	if v != intake.Accepted && b.intakeLog.allow(v.String(), time.Now()) {
		event.ConnectionsRefused.Log(b.log, zap.Stringer("why", v))
	}
}

func (b *Box) serveHTTP(s *http.Server, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	b.serveListener(s, l)
	return nil
}

func (b *Box) serveListener(s *http.Server, l net.Listener) {
	b.wg.Go(func() {
		serve := func() error { return s.Serve(l) }
		if s.TLSConfig != nil {
			serve = func() error { return s.ServeTLS(l, "", "") }
		}
		if err := serve(); !errors.Is(err, http.ErrServerClosed) && !b.refusing.Load() {
			b.reportFatal(Error.Wrap(err))
		}
	})
}

func (b *Box) serveOperator(w http.ResponseWriter, r *http.Request) {
	if p := b.components.Load(); p != nil {
		p.admin.ServeHTTP(w, r)
		return
	}
	serveStarting(w, r)
}

func (b *Box) serveEntry(w http.ResponseWriter, r *http.Request) {
	b.requests.Add(1)
	defer b.requests.Add(-1)
	switch p := b.components.Load(); {
	case p == nil:
		if b.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		serveStarting(w, r)
	case b.settings.Dialect == settings.DialectPlatform, p.gateway.HasRoutes():
		p.gateway.ServeHTTP(w, r)
	default:
		p.entry.ServeHTTP(w, r)
	}
}

// serveStarting responds to requests while the box has not found its cluster.
func serveStarting(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		return
	}
	w.Header().Set(entry.HeaderOutcome, "not-run")
	w.Header().Set("Retry-After", "1")
	http.Error(w, "the box has not found its cluster yet", http.StatusServiceUnavailable)
}

// lookup returns the box-to-box address of a box: from the committed state, else from the settings,
// else as the box reported when it called.
func (b *Box) lookup(box string) string {
	if p := b.components.Load(); p != nil {
		if m := p.replica.View().Members[box]; m != nil {
			return m.PeerAddress
		}
	}
	if address := b.knownAddresses()[box]; address != "" {
		return address
	}
	if address := b.settings.AddressOf(box); address != "" {
		return address
	}
	return b.callers.address(box)
}

// openSession probes a box, so that one that lost its state when its last process
// ended learns of the cluster again, and of a box to get the state from.
func (b *Box) openSession(ctx context.Context, box string) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	// Retried while the box is unresponsive.
	_, _ = b.pool.Call(ctx, box, &wire.Request{Kind: &wire.Request_Probe{Probe: &wire.Probe{Member: state.MemberID(b.id.Self())}}})
}

// knownAddresses returns the addresses of boxes from the latest settings.
func (b *Box) knownAddresses() map[string]string {
	if m := b.reloadedBoxes.Load(); m != nil {
		return *m
	}
	return b.settings.Boxes
}

// Reload adopts the addresses of known boxes; all other settings stay as they were at
// the start.
func (b *Box) Reload(s *settings.Settings) { b.reloadedBoxes.Store(&s.Boxes) }

// run finds the cluster and then runs all components until the context ends.
func (b *Box) run(ctx context.Context) {
	if err := b.awaitCluster(ctx); err != nil {
		if ctx.Err() == nil {
			b.reportFatal(err)
		}
		return
	}
	p, err := b.assemble()
	if err != nil {
		b.reportFatal(err)
		return
	}
	b.components.Store(p)
	p.stopIfRefusing(b)
	event.ClusterJoined.Log(b.log, zap.String("member", p.replica.ID()))
	var wg sync.WaitGroup
	if b.store != nil {
		wg.Go(func() { b.announceCluster(ctx) })
	}
	wg.Go(func() { p.spread.Run(ctx) })
	wg.Go(func() { p.control.Run(ctx) })
	wg.Go(func() { p.claims.Run(ctx) })
	wg.Go(func() { b.updateDirectory(ctx, p) })
	wg.Go(func() { b.maintainMembership(ctx, p) })
	wg.Go(func() { b.pollPlatform(ctx, p) })
	wg.Go(func() { b.pollReports(ctx, p) })
	wg.Go(func() { b.forwardNotices(ctx, p) })
	wg.Go(func() { b.shareLoad(ctx, p) })
	wg.Go(func() { b.configureOrigins(ctx, p) })
	wg.Go(func() { p.quotas.limiter.Run(ctx) })
	wg.Go(func() { p.serverLimits.limiter.Run(ctx) })
	wg.Go(func() { p.forwardBackoffs(ctx) })
	wg.Go(func() { p.drains.run(ctx, (&forwarder{b, p}).Forward) })
	wg.Go(func() { p.crashes.run(ctx, (&forwarder{b, p}).Forward) })
	wg.Wait()
	p.replica.Close()
}

// newStorage returns the storage of a box with a disk. Tests replace it to simulate disks that stall.
var newStorage = func(store *wal.Store) replica.Storage { return store }

func (b *Box) assemble() (*components, error) {
	s := b.settings
	self := b.id.Self()
	var storage replica.Storage = replica.MemoryStorage{}
	if b.store != nil {
		storage = newStorage(b.store)
	}
	r, err := replica.New(replica.Options{
		Core: consensus.Options{
			ID: self.Box + "/" + self.Incarnation, ElectionMin: s.Election, Heartbeat: s.Heartbeat, Lease: s.Lease, Seed: uint64(time.Now().UnixNano()),
		},
		Storage: storage, Send: b.pool.Send, CompactAfter: s.CompactAfter, Clock: b.clock.Now, Fatal: b.reportFatal, Log: b.log,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := &components{replica: r, regions: s.Regions, directory: route.NewDirectory(s.Hall), ackTimeouts: spread.AckTimeouts{AllBoxes: s.AcceptWait, Majority: s.MaxAcceptWait}, notices: make(chan gateway.Notice, maxQueuedNotices)}
	b.id.setLevelSource(func() level.Level { return r.View().Level })
	p.crashes = newCrashReporter(state.ProcessID(self), b.log, b.meters)
	p.spread = spread.New(spread.Options{
		Replica: r, Client: b.pool, Self: self, Seeds: slices.Sorted(maps.Keys(s.Boxes)), ConfigLease: s.ConfigLease, DrainingDuration: s.DrainingGrace,
		RecentCallers: func() []string {
			if len(r.View().Members) == 0 {
				return b.callers.all()
			}
			return b.callers.withDisk()
		},
		Demand: func() []*wire.Demand { return append(p.entry.Demand(), p.gateway.Demand()...) },
		Log:    b.log,
	})
	allowed := func() bool { _, held := r.Lease(); return held }
	p.serverLimits = newSharedLimits(limitKind{servers: true, minLevel: level.ServerLimits, window: serverWindow}, self, r, p.spread, b.pool)
	p.throttle = throttle.New(throttle.Options{Limiter: p.serverLimits.limiter, View: r.View, ReportLimit: p.forwardLimit, Meters: b.meters, Log: b.log})
	p.drains = newDrainReporter(p, b.log)
	p.pushback = pushback.New(pushback.Options{
		Now: clock.New().Now, Throttle: p.throttle, Boxes: func() int { return len(r.View().Members) }, OnDraining: p.drains.add, Log: b.log,
	})
	p.directory.SetPushback(p.pushback)
	p.responses = b.newResponseMemory()
	engines, counting := engine.NewClient(allowed, p.pushback), platform.NewEngines(allowed, p.pushback)
	engines.Memory, counting.Memory = p.responses, p.responses
	p.control = control.New(control.Options{
		Replica: r, Spread: p.spread, Engines: engines.At,
		TerminatedServers: p.directory.TerminatedServers, OpenSession: b.openSession, WantedVoters: cmp.Or(s.Voters, len(b.id.firstMembers()), len(s.FirstMembers)), RepairAfter: s.RepairAfter, UpgradeSettleTime: s.UpgradeSettleTime,
		Counting: counting, InBackoff: func(server string) bool { return !p.pushback.Sendable(server) }, Holder: s.Box, OrderPause: s.OrderPause, DemandSettleTime: s.DemandSettleTime, VotersNeedDisks: s.VotersNeedDisks, NeverLeads: s.VotersNeedDisks && b.store == nil,
		Slowness: func() map[string]float64 { return serverSlowness(p) }, Failing: func() map[string]time.Duration { return failingServers(p) },
		Records: b.records, Meters: b.meters, Log: b.log,
	})
	p.claims = keyed.New(state.ProcessID(self), r, b.pool, b.meters)
	p.quotas = newSharedLimits(limitKind{minLevel: level.Workspaces, window: s.QuotaWindow}, self, r, p.spread, b.pool)
	p.entry = entry.New(entry.Options{
		Directory: p.directory, View: r.View, Current: func() bool { return b.routesInitialized.Load() && p.spread.Current() }, Sender: proxy.NewSender(),
		Meters: b.meters, Records: b.records, MaxBody: s.MaxBody, BodyTimeout: s.BodyTimeout, Responses: p.responses, Claims: p.claims,
		ReportCrash: p.crashes.add, Quotas: p.quotas.limiter, Pushback: p.pushback, Shutdown: b.shutdown,
	})
	p.sharer, p.origins = b.newSharer(self), b.newOrigins(p)
	p.gateway = b.newGateway(p)
	p.crashes.committed = func() {
		p.entry.RecordCrashesCommitted()
		p.gateway.RecordCrashesCommitted()
	}
	p.platform = platform.Control(&platformCluster{b, p}, p.responses)
	p.admin = admin.New(admin.Options{
		Box: s.Box, Cluster: &forwarder{b, p}, View: r.View, Ready: b.ready, Records: b.records, Meters: b.meters,
		QuotaStatus: p.quotas.limiter.Status, Pushback: p.pushback,
		Load: p.adminLoadSource,
	})
	return p, nil
}

// ready reports whether the load balancer should send requests to this box, and why
// not.
func (b *Box) ready() (bool, string) {
	p := b.components.Load()
	switch {
	case b.stopping.Load():
		return false, "stopping"
	case p == nil:
		return false, "no cluster"
	case p.replica.View().Fleet == nil, p.directory.Table().Models == nil, !p.gateway.Ready():
		return false, "no fleet file"
	case !b.routesInitialized.Load(), !p.spread.Current():
		b.meters.Gauge(meter.Current).Set(0)
		return false, "not current"
	}
	b.meters.Gauge(meter.Current).Set(1)
	return true, "ready"
}

func (b *Box) reportFatal(err error) {
	select {
	case b.fatal <- err:
	default:
	}
}

// Fatal returns a channel that receives the error after which the box cannot continue.
func (b *Box) Fatal() <-chan error { return b.fatal }

// OperatorAddress returns the listen address for operators.
func (b *Box) OperatorAddress() string { return b.settings.OperatorListen }

// Answer handles a request of another box. It implements peer.Handler.
func (b *Box) Answer(ctx context.Context, from *wire.Member, r *wire.Request) *wire.Response {
	if f := r.GetForm(); f != nil {
		return &wire.Response{Kind: &wire.Response_Form{Form: b.answerForm(from.GetBox(), f)}}
	}
	if from.GetBox() != "" {
		b.callers.record(from)
	}
	p := b.components.Load()
	if p == nil {
		return notReadyResponse()
	}
	return b.dispatch(ctx, p, from, r)
}

// Receive passes a message to the consensus replica. It implements peer.Handler.
func (b *Box) Receive(m *wire.Message) {
	if p := b.components.Load(); p != nil {
		p.replica.Receive(m)
	}
}
