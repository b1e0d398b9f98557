// Package box puts the parts of one box together and runs them until it is
// stopped. The daemon is a few lines over it.
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
	"leverdrum/internal/build"
	"leverdrum/internal/clock"
	"leverdrum/keyed"
	"leverdrum/level"
	"leverdrum/meter"
	"leverdrum/peer"
	"leverdrum/platform"
	"leverdrum/proxy"
	"leverdrum/pushback"
	"leverdrum/record"
	"leverdrum/replica"
	"leverdrum/route"
	"leverdrum/settings"
	"leverdrum/spread"
	"leverdrum/state"
	"leverdrum/throttle"
	"leverdrum/wal"
	"leverdrum/wire"
)

const (
	// recordLimit is how many decisions of each kind a box remembers.
	recordLimit = 4096
	// readHeaderTimeout bounds operators' headers.
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 64 << 10
	// idleTimeout is how long a caller's connection may be idle.
	idleTimeout = 2 * time.Minute
)

// Box is one running box.
type Box struct {
	settings *settings.Settings
	log      *zap.Logger
	meters   *meter.Meters
	records  *record.History
	clock    *clock.Clock // begins with the process
	store    *wal.Store
	id       *identity
	pool     *peer.Pool
	peers    *peer.Server
	parts    atomic.Pointer[parts]
	stopping atomic.Bool
	// warm is set once the routes hold what was in force when the box first was
	// current.
	warm atomic.Bool

	operatorHTTP *http.Server
	entryHTTP    *http.Server
	// others serve what only some boxes have.
	others []*http.Server
	// callers are asked where the settings name nobody that runs.
	callers callers
	// strange paces lines on words that name no server.
	strange pace
	// boxes are the newest addresses by the settings, nil before a reload.
	boxes  atomic.Pointer[map[string]string]
	fatal  chan error
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// parts are what works once the box belongs to a cluster.
type parts struct {
	regions   map[string]string // of data halls, by the settings
	replica   *replica.Replica
	spread    *spread.Distributor
	directory *route.Directory
	entry     *entry.Entry
	admin     *admin.Admin
	control   *control.Controller
	guard     *keyed.ClaimReplica
	gateway   *gateway.Gateway
	platform  http.Handler
	notices   chan gateway.Notice
	crashes   *crashes
	quotas    *quotas
	limits    *quotas // that servers name
	throttle  *throttle.Throttle
	pushback  *pushback.Registry
	drains    *drains
	// accept is how long an apply waits for the boxes.
	accept spread.AckTimeouts
}

// Start opens everything and returns once the box listens. It goes on in the
// background until Stop or Kill; Fatal tells when it cannot go on.
func Start(s *settings.Settings, tls peer.TLS, log *zap.Logger) (*Box, error) {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Box{
		settings: s, log: log, meters: meter.New(), records: record.NewHistory(recordLimit), clock: clock.New(),
		fatal: make(chan error, 1), cancel: cancel,
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
		Handler: http.HandlerFunc(b.serveEntry), ReadHeaderTimeout: b.settings.HeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	return b.serveHTTP(b.entryHTTP, b.settings.EntryListen)
}

func (b *Box) serveHTTP(s *http.Server, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	b.wg.Go(func() {
		serve := func() error { return s.Serve(l) }
		if s.TLSConfig != nil {
			serve = func() error { return s.ServeTLS(l, "", "") }
		}
		if err := serve(); !errors.Is(err, http.ErrServerClosed) {
			b.fail(Error.Wrap(err))
		}
	})
	return nil
}

func (b *Box) serveOperator(w http.ResponseWriter, r *http.Request) {
	if p := b.parts.Load(); p != nil {
		p.admin.ServeHTTP(w, r)
		return
	}
	starting(w, r)
}

func (b *Box) serveEntry(w http.ResponseWriter, r *http.Request) {
	switch p := b.parts.Load(); {
	case p == nil:
		starting(w, r)
	case b.settings.Dialect == settings.DialectPlatform, p.gateway.HasRoutes():
		p.gateway.ServeHTTP(w, r)
	default:
		p.entry.ServeHTTP(w, r)
	}
}

// starting answers while the box has not found its cluster.
func starting(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		return
	}
	w.Header().Set(entry.HeaderOutcome, "not-run")
	w.Header().Set("Retry-After", "1")
	http.Error(w, "the box has not found its cluster yet", http.StatusServiceUnavailable)
}

// lookup returns the box-to-box address of a box: as agreed, else as set, else as the box told when
// it called.
func (b *Box) lookup(box string) string {
	if p := b.parts.Load(); p != nil {
		if m := p.replica.View().Members[box]; m != nil {
			return m.PeerAddress
		}
	}
	if address := b.known()[box]; address != "" {
		return address
	}
	if address := b.settings.AddressOf(box); address != "" {
		return address
	}
	return b.callers.address(box)
}

// meet calls on a box, so that one which lost its state with its last process
// learns of the cluster again and whom to ask.
func (b *Box) meet(ctx context.Context, box string) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	// Tried again while the box is silent.
	_, _ = b.pool.Call(ctx, box, &wire.Request{Kind: &wire.Request_Probe{Probe: &wire.Probe{Member: state.MemberID(b.id.Self())}}})
}

// known returns the addresses of boxes by the settings.
func (b *Box) known() map[string]string {
	if m := b.boxes.Load(); m != nil {
		return *m
	}
	return b.settings.Boxes
}

// Reload takes over the addresses of known boxes; all else stays as it was at the
// start.
func (b *Box) Reload(s *settings.Settings) { b.boxes.Store(&s.Boxes) }

// run finds the cluster and then keeps all parts going until the context ends.
func (b *Box) run(ctx context.Context) {
	if err := b.awaitCluster(ctx); err != nil {
		if ctx.Err() == nil {
			b.fail(err)
		}
		return
	}
	p, err := b.assemble()
	if err != nil {
		b.fail(err)
		return
	}
	b.parts.Store(p)
	event.ClusterJoined.Log(b.log, zap.String("member", p.replica.ID()))
	var wg sync.WaitGroup
	if b.store != nil {
		wg.Go(func() { b.tellFormed(ctx) })
	}
	wg.Go(func() { p.spread.Run(ctx) })
	wg.Go(func() { p.control.Run(ctx) })
	wg.Go(func() { p.guard.Run(ctx) })
	wg.Go(func() { b.keepDirectory(ctx, p) })
	wg.Go(func() { b.keepMembership(ctx, p) })
	wg.Go(func() { b.readPlatform(ctx, p) })
	wg.Go(func() { b.readReports(ctx, p) })
	wg.Go(func() { b.tellLeader(ctx, p) })
	wg.Go(func() { p.quotas.limiter.Run(ctx) })
	wg.Go(func() { p.limits.limiter.Run(ctx) })
	wg.Go(func() { p.tellRests(ctx) })
	wg.Go(func() { p.drains.run(ctx, (&forwarder{b, p}).Forward) })
	wg.Go(func() { p.crashes.run(ctx, (&forwarder{b, p}).Forward) })
	wg.Wait()
	p.replica.Close()
}

func (b *Box) assemble() (*parts, error) {
	s := b.settings
	self := b.id.Self()
	var storage replica.Storage = replica.MemoryStorage{}
	if b.store != nil {
		storage = b.store
	}
	r, err := replica.New(replica.Options{
		Core: consensus.Options{
			ID: self.Box + "/" + self.Incarnation, ElectionMin: s.Election, Heartbeat: s.Heartbeat, Lease: s.Lease, Seed: uint64(time.Now().UnixNano()),
		},
		Storage: storage, Send: b.pool.Send, CompactAfter: s.CompactAfter, Clock: b.clock.Now, Fatal: b.fail, Log: b.log,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := &parts{replica: r, regions: s.Regions, directory: route.NewDirectory(s.Hall), accept: spread.AckTimeouts{AllBoxes: s.AcceptWait, Majority: s.MaxAcceptWait}, notices: make(chan gateway.Notice, noticesLength)}
	b.id.follow(func() level.Level { return r.View().Level })
	p.crashes = newCrashes(state.ProcessID(self), b.log, b.meters)
	p.spread = spread.New(spread.Options{
		Replica: r, Client: b.pool, Self: self, Seeds: slices.Sorted(maps.Keys(s.Boxes)), ConfigLease: s.ConfigLease,
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
	p.limits = newQuotas(leased{servers: true, since: level.ServerLimits, window: serverWindow}, self, r, p.spread, b.pool)
	p.throttle = throttle.New(throttle.Options{Limiter: p.limits.limiter, View: r.View, ReportLimit: p.tellLimit, Meters: b.meters, Log: b.log})
	p.drains = newDrains(p, b.log)
	p.pushback = pushback.New(pushback.Options{
		Now: clock.New().Now, Throttle: p.throttle, Boxes: func() int { return len(r.View().Members) }, OnDraining: p.drains.add, Log: b.log,
	})
	p.directory.SetPushback(p.pushback)
	engines := engine.NewClient(allowed, p.pushback)
	p.control = control.New(control.Options{
		Replica: r, Spread: p.spread, Engines: engines.At,
		TerminatedServers: p.directory.TerminatedServers, OpenSession: b.meet, WantedVoters: cmp.Or(s.Voters, len(s.FirstMembers)), RepairAfter: s.RepairAfter, UpgradeSettleTime: s.UpgradeSettleTime,
		Counting: platform.NewEngines(allowed, p.pushback), InBackoff: func(server string) bool { return !p.pushback.Sendable(server) }, Holder: s.Box, OrderPause: s.OrderPause, DemandSettleTime: s.DemandSettleTime, VotersNeedDisks: s.VotersNeedDisks, NeverLeads: s.VotersNeedDisks && b.store == nil,
		Records: b.records, Meters: b.meters, Log: b.log,
	})
	p.guard = keyed.New(state.ProcessID(self), r, b.pool, b.meters)
	p.quotas = newQuotas(leased{since: level.Workspaces, window: s.QuotaWindow}, self, r, p.spread, b.pool)
	p.entry = entry.New(entry.Options{
		Directory: p.directory, View: r.View, Current: func() bool { return b.warm.Load() && p.spread.Current() }, Sender: proxy.NewSender(),
		Meters: b.meters, Records: b.records, MaxBody: s.MaxBody, BodyTimeout: s.BodyTimeout, Claims: p.guard,
		ReportCrash: p.crashes.add, Quotas: p.quotas.limiter, Pushback: p.pushback,
	})
	p.gateway = b.newGateway(p)
	p.platform = platform.Control(&platformCluster{b, p})
	p.admin = admin.New(admin.Options{
		Box: s.Box, Cluster: &forwarder{b, p}, View: r.View, Ready: b.ready, Records: b.records, Meters: b.meters,
		QuotaStatus: p.quotas.limiter.Status, Pushback: p.pushback,
	})
	return p, nil
}

// ready says whether the balancer should send requests here.
func (b *Box) ready() (bool, string) {
	p := b.parts.Load()
	switch {
	case b.stopping.Load():
		return false, "stopping"
	case p == nil:
		return false, "no cluster"
	case p.replica.View().Fleet == nil, p.directory.Table().Models == nil, !p.gateway.Ready():
		return false, "no fleet file"
	case !b.warm.Load(), !p.spread.Current():
		b.meters.Gauge(meter.Current).Set(0)
		return false, "not current"
	}
	b.meters.Gauge(meter.Current).Set(1)
	return true, "ready"
}

func (b *Box) fail(err error) {
	select {
	case b.fatal <- err:
	default:
	}
}

// Fatal tells when the box cannot go on.
func (b *Box) Fatal() <-chan error { return b.fatal }

// OperatorAddress returns where operators reach the box.
func (b *Box) OperatorAddress() string { return b.settings.OperatorListen }

// Answer answers another box. It implements peer.Handler.
func (b *Box) Answer(ctx context.Context, from *wire.Member, r *wire.Request) *wire.Response {
	if f := r.GetForm(); f != nil {
		err := b.id.Adopt(f.ClusterId)
		return &wire.Response{Kind: &wire.Response_Form{Form: &wire.FormAnswer{Formed: err == nil}}}
	}
	if from.GetBox() != "" {
		b.callers.record(from)
	}
	p := b.parts.Load()
	if p == nil {
		return notReady()
	}
	return b.answer(ctx, p, from, r)
}

// Receive hands a message to the agreement. It implements peer.Handler.
func (b *Box) Receive(m *wire.Message) {
	if p := b.parts.Load(); p != nil {
		p.replica.Receive(m)
	}
}
