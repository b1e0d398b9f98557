package control_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"leverdrum/control"
	"leverdrum/engine"
	"leverdrum/internal/fixed"
	"leverdrum/ledger"
	"leverdrum/placement"
	"leverdrum/standin"
	"leverdrum/state"
	"leverdrum/wire"
)

func TestMain(m *testing.M) {
	fixed.Rapid(100)
	os.Exit(m.Run())
}

const (
	capacity  = uint64(10 << 30)
	orderLate = 10 * time.Second
)

// fake is a model server that keeps its own account.
type fake struct {
	name        string
	fences      bool
	incarnation int
	down        bool
	residents   map[ledger.Location]uint64
	fence       uint64
	outcomes    map[uint64]engine.Outcome
}

func (f *fake) id() string { return fmt.Sprint("i", f.incarnation) }

func (f *fake) restart() {
	f.incarnation++
	f.residents, f.outcomes, f.fence = map[ledger.Location]uint64{}, map[uint64]engine.Outcome{}, 0
}

func (f *fake) report() *engine.State {
	st := &engine.State{Incarnation: f.id()}
	for p, m := range f.residents {
		st.Residents = append(st.Residents, engine.Resident{Accelerator: p.Accelerator, Model: p.Model, Adapter: p.Adapter, Version: p.Version, Memory: m})
	}
	return st
}

// run carries out an order as it arrives.
func (f *fake) run(o *wire.Order) engine.Outcome {
	if f.fences {
		if out, seen := f.outcomes[o.Id]; seen {
			return out
		}
		if o.Id < f.fence || o.ServerIncarnation != f.id() {
			return engine.Outcome{}
		}
		f.fence = o.Id
	}
	place := ledger.OrderLocation(o)
	out := engine.Outcome{Done: true}
	if o.Action == wire.OrderAction_ORDER_LOAD {
		f.residents[place] = o.Memory
	} else {
		_, out.Done = f.residents[place]
		delete(f.residents, place)
	}
	f.outcomes[o.Id] = out
	return out
}

// flight is an order on its way.
type flight struct {
	order *wire.Order
	sent  time.Duration
}

// readState is a server's state as a leader read it.
type readState struct {
	state *engine.State
	began time.Duration
}

// world is the agreed state, the servers, the orders on their way, and the
// leader of the moment.
type world struct {
	t        *rapid.T
	now      time.Duration
	st       *state.State
	servers  map[string]*fake
	flights  []flight
	doubled  []flight // second arrivals, which come much later
	term     uint64
	ledSince time.Duration
	sent     map[uint64]time.Duration // by this leader
	answers  map[uint64]engine.Outcome
	reports  map[string]readState
	// quarantine is since when this leader knows of a restart.
	quarantine map[string]time.Duration
	number     uint64
	issued     int
	ran        int
}

const servers = 5

// file returns a fleet file; models change versions and come and go with it.
func file(number uint64) string {
	text := "[fleet]\nnumber = 1\nloads-at-once = 4\n[hall a]\n[hall b]\n[class c]\ndeadline = 10s\n" +
		"[kind fenced]\nmemory = 10GiB\nchecks-fences = true\nconcurrency = 4\n[kind plain]\nmemory = 10GiB\norder-late = 10s\nconcurrency = 4\n"
	for i := range servers {
		text += fmt.Sprintf("[server s%d]\naddress = 127.0.0.1:%d\nhall = %c\nkind = %s\n", i, i+1, 'a'+i%2, []string{"plain", "fenced"}[i%2])
	}
	for i := range 5 {
		if uint64(i) == number%7 {
			continue // this file lacks one
		}
		text += fmt.Sprintf("[model m%d]\nversion = %d\nmemory = %dGiB\nclass = c\ncopies = %d\n", i, number/uint64(i+2), 2+i%3, 1+i%2)
		text += fmt.Sprintf("[adapter x%d]\nmodel = m%d\nversion = %d\nmemory = 500MiB\n", i, i, number/uint64(i+3))
	}
	return text
}

func newWorld(t *rapid.T) *world {
	st := state.New()
	w := &world{t: t, st: st, servers: map[string]*fake{}}
	for i := range servers {
		f := &fake{name: fmt.Sprint("s", i), fences: i%2 == 1}
		f.restart()
		w.servers[f.name] = f
	}
	w.apply()
	w.elect()
	return w
}

func (w *world) apply() {
	w.number++
	if r := standin.Apply(w.st, file(w.number), w.number); r.Apply != state.Accepted {
		w.t.Fatalf("file %d: %s %v", w.number, r.Apply, r.Err)
	}
}

// elect makes another box the leader. Orders that the old one wrote are on
// their way; all others it can write no more.
func (w *world) elect() {
	w.term++
	w.ledSince = w.now
	w.sent, w.answers, w.reports = map[uint64]time.Duration{}, map[uint64]engine.Outcome{}, map[string]readState{}
	w.quarantine = map[string]time.Duration{}
}

func (w *world) agree(c *wire.Command) state.Result { return standin.Agree(w.st, c) }

func (w *world) down() map[string]bool {
	down := map[string]bool{}
	for name, f := range w.servers {
		if f.down {
			down[name] = true
		}
	}
	return down
}

// read lets the leader read a server's state, and put changes into the agreed
// state, as Controller.noteServers does.
func (w *world) read(f *fake) {
	if f.down {
		return
	}
	w.reports[f.name] = readState{f.report(), w.now}
	known := w.st.Servers.Get(f.name)
	settled := false
	if known.GetIncarnation() == f.id() {
		if !known.Quarantined {
			return
		}
		since, ok := w.quarantine[f.name+f.id()]
		if !ok {
			w.quarantine[f.name+f.id()] = w.now
			return
		}
		if settled = w.now > since+orderLate; !settled {
			return
		}
	}
	seen := &wire.ServerSeen{Server: f.name, Incarnation: f.id(), Settled: settled}
	for p, m := range f.residents {
		seen.Residents = append(seen.Residents, &wire.Resident{
			Server: f.name, Accelerator: p.Accelerator, Memory: m, Phase: wire.Phase_PHASE_READY,
			Item: &wire.Item{Model: p.Model, Adapter: p.Adapter, Version: p.Version},
		})
	}
	w.agree(&wire.Command{Kind: &wire.Command_Server{Server: seen}})
}

func (w *world) decide() {
	demand := map[string]placement.Demand{}
	for i := range 5 {
		demand[fmt.Sprint("m", i)] = placement.Demand{Requests: 10, BusySlots: float64(rapid.IntRange(0, 12).Draw(w.t, "places"))}
	}
	plan := placement.Decide(placement.Input{State: w.st, Demand: demand, Down: w.down(), LeaderFor: time.Hour})
	for _, d := range plan.Decisions {
		w.issue(d.Order)
	}
}

// whim issues an order that no plan asked for, as a box might that decided on
// an old state: the ledger alone must hold.
func (w *world) whim() {
	f := w.pick("server")
	n := rapid.IntRange(0, 4).Draw(w.t, "model")
	item := &wire.Item{Model: fmt.Sprint("m", n), Version: fmt.Sprint(rapid.IntRange(0, 2).Draw(w.t, "version"))}
	memory := uint64(2+n%3) << 30
	if rapid.IntRange(0, 3).Draw(w.t, "adapter") == 0 {
		item.Adapter, memory = fmt.Sprint("x", n), 500<<20
	}
	w.issue(&wire.Order{Action: wire.OrderAction_ORDER_LOAD, Server: f.name, ServerIncarnation: w.st.Servers.Get(f.name).GetIncarnation(), Item: item, Memory: memory})
}

// whimAway orders something away that may well be needed.
func (w *world) whimAway() {
	var keys []string
	places := map[string]*wire.Resident{}
	for p, r := range w.st.Residents.All() {
		k := fmt.Sprint(p)
		keys, places[k] = append(keys, k), r
	}
	if len(keys) == 0 {
		return
	}
	slices.Sort(keys)
	r := places[rapid.SampledFrom(keys).Draw(w.t, "away")]
	w.issue(&wire.Order{Action: wire.OrderAction_ORDER_UNLOAD, Server: r.Server, ServerIncarnation: w.st.Servers.Get(r.Server).GetIncarnation(), Item: r.Item})
}

func (w *world) issue(o *wire.Order) {
	r := w.agree(&wire.Command{Kind: &wire.Command_Issue{Issue: &wire.IssueOrder{Order: o}}})
	if r.Err == nil {
		r.Order.Term = w.term
		w.issued++
	}
}

// drive does for each open order what Controller.finish does.
func (w *world) drive() {
	for id, o := range w.st.Clone().Orders.All() {
		f := w.servers[o.Server]
		if out, answered := w.answers[id]; answered && (f.fences || control.ClosesImmediately(o, out)) {
			w.close(id, out)
			continue
		}
		if f.fences {
			if at, sent := w.sent[id]; !sent || w.now-at > 3*time.Second {
				w.send(o)
			}
			continue
		}
		w.driveUnfenced(o)
	}
}

func (w *world) driveUnfenced(o *wire.Order) {
	_, sent := w.sent[o.Id]
	if o.Term == w.term && !sent {
		w.send(o)
		return
	}
	// A leader counts from its own sending, or from its election.
	latest := w.ledSince + orderLate
	if sent {
		latest = w.sent[o.Id] + orderLate
	}
	if r, ok := w.reports[o.Server]; ok && r.began > latest {
		if out, settled := control.OutcomeFromState(o, r.state); settled {
			w.close(o.Id, out)
		}
	}
}

func (w *world) send(o *wire.Order) {
	w.sent[o.Id] = w.now
	w.flights = append(w.flights, flight{o, w.now})
	w.flights = w.flights[max(0, len(w.flights)-60):]
}

func (w *world) close(id uint64, out engine.Outcome) {
	outcome := wire.OrderOutcome_OUTCOME_NOT_RUN
	if out.Done {
		outcome = wire.OrderOutcome_OUTCOME_DONE
	}
	w.agree(&wire.Command{Kind: &wire.Command_Close{Close: &wire.CloseOrder{Id: id, Outcome: outcome}}})
}

// arrive lets an order arrive, maybe a second time, and its answer get lost or
// not. One to a server without fences cannot arrive later than it may be late.
func (w *world) arrive(i int, again, answered bool) {
	fl := w.flights[i]
	w.flights = slices.Delete(w.flights, i, i+1)
	if again {
		w.doubled = append(w.doubled, fl)
		w.doubled = w.doubled[max(0, len(w.doubled)-20):]
	}
	w.hit(fl, answered)
}

// hit lets an order reach its server.
func (w *world) hit(fl flight, answered bool) {
	f := w.servers[fl.order.Server]
	if f.down || !f.fences && w.now-fl.sent > orderLate {
		return
	}
	w.ran++
	out := f.run(fl.order)
	if _, mine := w.sent[fl.order.Id]; answered && mine {
		w.answers[fl.order.Id] = out
	}
	w.checkServer(f)
}

// checkServer is the promise, by the server's own account.
func (w *world) checkServer(f *fake) {
	sum := uint64(0)
	for _, m := range f.residents {
		sum += m
	}
	if sum > capacity {
		w.t.Fatalf("server %s holds %d of %d bytes: %v", f.name, sum, capacity, f.residents)
	}
	if known := w.st.Servers.Get(f.name); known.GetIncarnation() != f.id() || known.Quarantined {
		return // its restart is not known yet, or it gets no orders
	}
	for p := range f.residents {
		if w.st.Residents.Get(p) == nil {
			w.t.Fatalf("server %s holds %v, which is not counted", f.name, p)
		}
	}
}

func (w *world) pick(label string) *fake {
	return w.servers[fmt.Sprint("s", rapid.IntRange(0, servers-1).Draw(w.t, label))]
}

func (w *world) step() {
	switch rapid.IntRange(0, 27).Draw(w.t, "action") {
	case 0, 1, 2:
		w.now += time.Duration(rapid.IntRange(1, 1500).Draw(w.t, "ms")) * time.Millisecond
	case 3, 4, 5:
		w.read(w.pick("read"))
	case 6, 7:
		w.decide()
	case 8, 9, 10:
		w.drive()
	case 11, 12, 13, 14, 15:
		if n := len(w.flights); n > 0 {
			w.arrive(rapid.IntRange(0, n-1).Draw(w.t, "order"), rapid.IntRange(0, 2).Draw(w.t, "again") == 0, rapid.IntRange(0, 2).Draw(w.t, "answered") > 0)
		}
	case 16:
		if n := len(w.flights); n > 0 {
			i := rapid.IntRange(0, n-1).Draw(w.t, "lost")
			w.flights = slices.Delete(w.flights, i, i+1)
		}
	case 17:
		if rapid.Bool().Draw(w.t, "rarely") {
			w.elect()
		} else if n := len(w.doubled); n > 0 {
			i := rapid.IntRange(0, n-1).Draw(w.t, "doubled")
			w.hit(w.doubled[i], false)
			w.doubled = slices.Delete(w.doubled, i, i+1)
		}
	case 18:
		f := w.pick("failing")
		switch rapid.IntRange(0, 2).Draw(w.t, "how") {
		case 0:
			f.restart()
		case 1:
			f.down = true
		case 2:
			f.down = false
		}
	case 20, 21:
		w.whim()
	case 22, 23, 24, 25, 26, 27:
		w.whimAway()
	case 19:
		if rapid.IntRange(0, 3).Draw(w.t, "rarely") == 0 {
			w.apply()
		}
	}
}

// heal ends all failures and lets everything run its course.
func (w *world) heal() {
	for _, f := range w.servers {
		f.down = false
	}
	for range 300 {
		w.now += time.Second
		for i := range servers {
			w.read(w.servers[fmt.Sprint("s", i)])
		}
		w.drive()
		for len(w.flights) > 0 {
			w.arrive(0, false, true)
		}
		w.drive()
		plan := placement.Decide(placement.Input{State: w.st, LeaderFor: time.Hour})
		for _, d := range plan.Decisions {
			if r := w.agree(&wire.Command{Kind: &wire.Command_Issue{Issue: &wire.IssueOrder{Order: d.Order}}}); r.Err == nil {
				r.Order.Term = w.term
			}
		}
	}
	w.checkAll()
}

// checkAll wants every model and adapter of the file resident by the servers'
// own account, and the agreed state equal to it.
func (w *world) checkAll() {
	if w.st.Orders.Len() > 0 {
		w.t.Fatalf("orders are open for ever: %v", w.st.Orders)
	}
	for p, r := range w.st.Residents.All() {
		if _, held := w.servers[p.Server].residents[p]; !held || r.Phase != wire.Phase_PHASE_READY {
			w.t.Fatalf("%v is agreed as %v, but the server holds %v", p, r.Phase, w.servers[p.Server].residents)
		}
	}
	for name, m := range w.st.Fleet.Models {
		w.wantHeld(ledger.Location{Model: name, Version: m.Version})
	}
	for name, a := range w.st.Fleet.Adapters {
		w.wantHeld(ledger.Location{Model: a.Model, Adapter: name, Version: a.Version})
	}
}

func (w *world) wantHeld(want ledger.Location) {
	for _, f := range w.servers {
		for p := range f.residents {
			p.Server, p.Accelerator = "", 0
			if p == want {
				return
			}
		}
	}
	w.t.Fatalf("%+v is nowhere resident", want)
}

// TestMemoryUnderFailure drives placement, ledger and orders through lost, late
// and doubled orders, lost answers, changes of the leader, restarts of servers
// and new fleet files, over servers of both kinds.
func TestMemoryUnderFailure(t *testing.T) {
	issued, ran := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		for range 3000 {
			w.step()
		}
		w.heal()
		issued += w.issued
		ran += w.ran
	})
	g := NewWithT(t)
	g.Expect(issued).To(BeNumerically(">", 2000), "the runs must give orders, or they prove nothing")
	g.Expect(ran).To(BeNumerically(">", 2000))
}

// TestWhatClosesAtOnce is about servers without fences: after anything but a
// load that was done, a load still on its way could arrive uncounted.
func TestWhatClosesAtOnce(t *testing.T) {
	for _, c := range []struct {
		action wire.OrderAction
		done   bool
		want   bool
	}{
		{wire.OrderAction_ORDER_LOAD, true, true},
		{wire.OrderAction_ORDER_LOAD, false, false},
		{wire.OrderAction_ORDER_UNLOAD, true, false},
		{wire.OrderAction_ORDER_UNLOAD, false, false},
	} {
		NewWithT(t).Expect(control.ClosesImmediately(&wire.Order{Action: c.action}, engine.Outcome{Done: c.done})).To(Equal(c.want), "%+v", c)
	}
}

func TestNothingIsSettledWhileLoading(t *testing.T) {
	g := NewWithT(t)
	o := &wire.Order{Action: wire.OrderAction_ORDER_LOAD, Server: "s", Item: &wire.Item{Model: "m", Version: "1"}}
	_, settled := control.OutcomeFromState(o, &engine.State{Residents: []engine.Resident{{Model: "m", Version: "1", Loading: true}}})
	g.Expect(settled).To(BeFalse())
	out, settled := control.OutcomeFromState(o, &engine.State{Residents: []engine.Resident{{Model: "m", Version: "1"}}})
	g.Expect(settled && out.Done).To(BeTrue())
	out, settled = control.OutcomeFromState(o, &engine.State{})
	g.Expect(settled && !out.Done).To(BeTrue())
}
