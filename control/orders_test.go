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
	fixed.SetRapidFlags(100)
	os.Exit(m.Run())
}

const (
	capacity  = uint64(10 << 30)
	orderLate = 10 * time.Second
)

// fakeServer is a model server that tracks its own residents.
type fakeServer struct {
	name         string
	checksFences bool
	incarnation  int
	down         bool
	residents    map[ledger.Location]uint64
	fence        uint64
	outcomes     map[uint64]engine.Outcome
}

func (f *fakeServer) id() string { return fmt.Sprint("i", f.incarnation) }

func (f *fakeServer) restart() {
	f.incarnation++
	f.residents, f.outcomes, f.fence = map[ledger.Location]uint64{}, map[uint64]engine.Outcome{}, 0
}

func (f *fakeServer) report() *engine.State {
	st := &engine.State{Incarnation: f.id()}
	for p, m := range f.residents {
		st.Residents = append(st.Residents, engine.Resident{Accelerator: p.Accelerator, Model: p.Model, Adapter: p.Adapter, Version: p.Version, Memory: m})
	}
	return st
}

// run executes an order on its arrival.
func (f *fakeServer) run(o *wire.Order) engine.Outcome {
	if f.checksFences {
		if out, seen := f.outcomes[o.Id]; seen {
			return out
		}
		if o.Id < f.fence || o.ServerIncarnation != f.id() {
			return engine.Outcome{}
		}
		f.fence = o.Id
	}
	location := ledger.OrderLocation(o)
	out := engine.Outcome{Done: true}
	if o.Action == wire.OrderAction_ORDER_LOAD {
		f.residents[location] = o.Memory
	} else {
		_, out.Done = f.residents[location]
		delete(f.residents, location)
	}
	f.outcomes[o.Id] = out
	return out
}

// inFlightOrder is an order that was sent and has not arrived.
type inFlightOrder struct {
	order *wire.Order
	sent  time.Duration
}

// readState is a server's state as a leader read it.
type readState struct {
	state *engine.State
	began time.Duration
}

// simulation holds the committed state, the servers, the orders in flight, and the current leader.
type simulation struct {
	t            *rapid.T
	now          time.Duration
	st           *state.State
	servers      map[string]*fakeServer
	inFlight     []inFlightOrder
	duplicates   []inFlightOrder // second copies, which arrive much later
	term         uint64
	leadingSince time.Duration
	sent         map[uint64]time.Duration // sent by this leader
	answers      map[uint64]engine.Outcome
	reports      map[string]readState
	// quarantine holds since when this leader knows of a restart.
	quarantine map[string]time.Duration
	number     uint64
	issued     int
	executed   int
}

const servers = 5

// fleetFile returns a fleet file; models change versions, appear and disappear with its number.
func fleetFile(number uint64) string {
	text := "[fleet]\nnumber = 1\nloads-at-once = 4\n[hall a]\n[hall b]\n[class c]\ndeadline = 10s\n" +
		"[kind fenced]\nmemory = 10GiB\nchecks-fences = true\nconcurrency = 4\n[kind plain]\nmemory = 10GiB\norder-late = 10s\nconcurrency = 4\n"
	for i := range servers {
		text += fmt.Sprintf("[server s%d]\naddress = 127.0.0.1:%d\nhall = %c\nkind = %s\n", i, i+1, 'a'+i%2, []string{"plain", "fenced"}[i%2])
	}
	for i := range 5 {
		if uint64(i) == number%7 {
			continue // this file has no such model
		}
		text += fmt.Sprintf("[model m%d]\nversion = %d\nmemory = %dGiB\nclass = c\ncopies = %d\n", i, number/uint64(i+2), 2+i%3, 1+i%2)
		text += fmt.Sprintf("[adapter x%d]\nmodel = m%d\nversion = %d\nmemory = 500MiB\n", i, i, number/uint64(i+3))
	}
	return text
}

func newSimulation(t *rapid.T) *simulation {
	st := state.New()
	w := &simulation{t: t, st: st, servers: map[string]*fakeServer{}}
	for i := range servers {
		f := &fakeServer{name: fmt.Sprint("s", i), checksFences: i%2 == 1}
		f.restart()
		w.servers[f.name] = f
	}
	w.apply()
	w.elect()
	return w
}

func (w *simulation) apply() {
	w.number++
	if r := standin.ApplyFleetFile(w.st, fleetFile(w.number), w.number); r.Apply != state.Accepted {
		w.t.Fatalf("file %d: %s %v", w.number, r.Apply, r.Err)
	}
}

// elect makes another box the leader. Orders that the old one sent are in flight; it can send no
// others.
func (w *simulation) elect() {
	w.term++
	w.leadingSince = w.now
	w.sent, w.answers, w.reports = map[uint64]time.Duration{}, map[uint64]engine.Outcome{}, map[string]readState{}
	w.quarantine = map[string]time.Duration{}
}

func (w *simulation) commit(c *wire.Command) state.Result { return standin.ApplyCommand(w.st, c) }

func (w *simulation) down() map[string]bool {
	down := map[string]bool{}
	for name, f := range w.servers {
		if f.down {
			down[name] = true
		}
	}
	return down
}

// read lets the leader read a server's state and commit changes, as Controller.noteServers does.
func (w *simulation) read(f *fakeServer) {
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
	w.commit(&wire.Command{Kind: &wire.Command_Server{Server: seen}})
}

func (w *simulation) decide() {
	demand := map[string]placement.Demand{}
	for i := range 5 {
		demand[fmt.Sprint("m", i)] = placement.Demand{Requests: 10, BusySlots: float64(rapid.IntRange(0, 12).Draw(w.t, "places"))}
	}
	plan := placement.Decide(placement.Input{State: w.st, Demand: demand, Down: w.down(), LeaderFor: time.Hour})
	for _, d := range plan.Decisions {
		w.issue(d.Order)
	}
}

// issueRandomLoad issues an order that no plan asked for, as a box might that decided on an old
// state: the ledger alone must hold.
func (w *simulation) issueRandomLoad() {
	f := w.pick("server")
	n := rapid.IntRange(0, 4).Draw(w.t, "model")
	item := &wire.Item{Model: fmt.Sprint("m", n), Version: fmt.Sprint(rapid.IntRange(0, 2).Draw(w.t, "version"))}
	memory := uint64(2+n%3) << 30
	if rapid.IntRange(0, 3).Draw(w.t, "adapter") == 0 {
		item.Adapter, memory = fmt.Sprint("x", n), 500<<20
	}
	w.issue(&wire.Order{Action: wire.OrderAction_ORDER_LOAD, Server: f.name, ServerIncarnation: w.st.Servers.Get(f.name).GetIncarnation(), Item: item, Memory: memory})
}

// issueRandomUnload unloads a resident that may well be needed.
func (w *simulation) issueRandomUnload() {
	var keys []string
	residents := map[string]*wire.Resident{}
	for p, r := range w.st.Residents.All() {
		k := fmt.Sprint(p)
		keys, residents[k] = append(keys, k), r
	}
	if len(keys) == 0 {
		return
	}
	slices.Sort(keys)
	r := residents[rapid.SampledFrom(keys).Draw(w.t, "away")]
	w.issue(&wire.Order{Action: wire.OrderAction_ORDER_UNLOAD, Server: r.Server, ServerIncarnation: w.st.Servers.Get(r.Server).GetIncarnation(), Item: r.Item})
}

func (w *simulation) issue(o *wire.Order) {
	r := w.commit(&wire.Command{Kind: &wire.Command_Issue{Issue: &wire.IssueOrder{Order: o}}})
	if r.Err == nil {
		r.Order.Term = w.term
		w.issued++
	}
}

// driveOrders does for each open order what Controller.finish does.
func (w *simulation) driveOrders() {
	for id, o := range w.st.Clone().Orders.All() {
		f := w.servers[o.Server]
		if out, answered := w.answers[id]; answered && (f.checksFences || control.ClosesImmediately(o, out)) {
			w.close(id, out)
			continue
		}
		if f.checksFences {
			if at, sent := w.sent[id]; !sent || w.now-at > 3*time.Second {
				w.send(o)
			}
			continue
		}
		w.driveUnfenced(o)
	}
}

func (w *simulation) driveUnfenced(o *wire.Order) {
	_, sent := w.sent[o.Id]
	if o.Term == w.term && !sent {
		w.send(o)
		return
	}
	// A leader counts from its own attempt, or from its election.
	latest := w.leadingSince + orderLate
	if sent {
		latest = w.sent[o.Id] + orderLate
	}
	if r, ok := w.reports[o.Server]; ok && r.began > latest {
		if out, settled := control.OutcomeFromState(o, r.state); settled {
			w.close(o.Id, out)
		}
	}
}

func (w *simulation) send(o *wire.Order) {
	w.sent[o.Id] = w.now
	w.inFlight = append(w.inFlight, inFlightOrder{o, w.now})
	w.inFlight = w.inFlight[max(0, len(w.inFlight)-60):]
}

func (w *simulation) close(id uint64, out engine.Outcome) {
	outcome := wire.OrderOutcome_OUTCOME_NOT_RUN
	if out.Done {
		outcome = wire.OrderOutcome_OUTCOME_DONE
	}
	w.commit(&wire.Command{Kind: &wire.Command_Close{Close: &wire.CloseOrder{Id: id, Outcome: outcome}}})
}

// arrive lets an order arrive, possibly twice, with its answer lost or not. An order to a server
// without fences cannot arrive after its maximum delay.
func (w *simulation) arrive(i int, duplicate, answered bool) {
	fl := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	if duplicate {
		w.duplicates = append(w.duplicates, fl)
		w.duplicates = w.duplicates[max(0, len(w.duplicates)-20):]
	}
	w.deliver(fl, answered)
}

// deliver lets an order reach its server.
func (w *simulation) deliver(fl inFlightOrder, answered bool) {
	f := w.servers[fl.order.Server]
	if f.down || !f.checksFences && w.now-fl.sent > orderLate {
		return
	}
	w.executed++
	out := f.run(fl.order)
	if _, sentHere := w.sent[fl.order.Id]; answered && sentHere {
		w.answers[fl.order.Id] = out
	}
	w.checkServer(f)
}

// checkServer checks the memory guarantee against the server's own residents.
func (w *simulation) checkServer(f *fakeServer) {
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

func (w *simulation) pick(label string) *fakeServer {
	return w.servers[fmt.Sprint("s", rapid.IntRange(0, servers-1).Draw(w.t, label))]
}

func (w *simulation) step() {
	switch rapid.IntRange(0, 27).Draw(w.t, "action") {
	case 0, 1, 2:
		w.now += time.Duration(rapid.IntRange(1, 1500).Draw(w.t, "ms")) * time.Millisecond
	case 3, 4, 5:
		w.read(w.pick("read"))
	case 6, 7:
		w.decide()
	case 8, 9, 10:
		w.driveOrders()
	case 11, 12, 13, 14, 15:
		if n := len(w.inFlight); n > 0 {
			w.arrive(rapid.IntRange(0, n-1).Draw(w.t, "order"), rapid.IntRange(0, 2).Draw(w.t, "again") == 0, rapid.IntRange(0, 2).Draw(w.t, "answered") > 0)
		}
	case 16:
		if n := len(w.inFlight); n > 0 {
			i := rapid.IntRange(0, n-1).Draw(w.t, "lost")
			w.inFlight = slices.Delete(w.inFlight, i, i+1)
		}
	case 17:
		if rapid.Bool().Draw(w.t, "rarely") {
			w.elect()
		} else if n := len(w.duplicates); n > 0 {
			i := rapid.IntRange(0, n-1).Draw(w.t, "doubled")
			w.deliver(w.duplicates[i], false)
			w.duplicates = slices.Delete(w.duplicates, i, i+1)
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
		w.issueRandomLoad()
	case 22, 23, 24, 25, 26, 27:
		w.issueRandomUnload()
	case 19:
		if rapid.IntRange(0, 3).Draw(w.t, "rarely") == 0 {
			w.apply()
		}
	}
}

// heal ends all failures and runs until everything settles.
func (w *simulation) heal() {
	for _, f := range w.servers {
		f.down = false
	}
	for range 300 {
		w.now += time.Second
		for i := range servers {
			w.read(w.servers[fmt.Sprint("s", i)])
		}
		w.driveOrders()
		for len(w.inFlight) > 0 {
			w.arrive(0, false, true)
		}
		w.driveOrders()
		plan := placement.Decide(placement.Input{State: w.st, LeaderFor: time.Hour})
		for _, d := range plan.Decisions {
			if r := w.commit(&wire.Command{Kind: &wire.Command_Issue{Issue: &wire.IssueOrder{Order: d.Order}}}); r.Err == nil {
				r.Order.Term = w.term
			}
		}
	}
	w.checkAll()
}

// checkAll requires every model and adapter of the file to be resident according to the servers,
// and the committed state to match.
func (w *simulation) checkAll() {
	if w.st.Orders.Len() > 0 {
		w.t.Fatalf("orders stay open forever: %v", w.st.Orders)
	}
	for p, r := range w.st.Residents.All() {
		if _, held := w.servers[p.Server].residents[p]; !held || r.Phase != wire.Phase_PHASE_READY {
			w.t.Fatalf("%v is committed as %v, but the server has %v", p, r.Phase, w.servers[p.Server].residents)
		}
	}
	for name, m := range w.st.Fleet.Models {
		w.requireResident(ledger.Location{Model: name, Version: m.Version})
	}
	for name, a := range w.st.Fleet.Adapters {
		w.requireResident(ledger.Location{Model: a.Model, Adapter: name, Version: a.Version})
	}
}

func (w *simulation) requireResident(location ledger.Location) {
	for _, f := range w.servers {
		for p := range f.residents {
			p.Server, p.Accelerator = "", 0
			if p == location {
				return
			}
		}
	}
	w.t.Fatalf("%+v is not resident anywhere", location)
}

// TestMemoryUnderFailure runs placement, ledger and orders through lost, late and duplicate orders,
// lost answers, leader changes, restarts of servers and new fleet files, with servers of both
// kinds.
func TestMemoryUnderFailure(t *testing.T) {
	issued, ran := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimulation(rt)
		for range 3000 {
			w.step()
		}
		w.heal()
		issued += w.issued
		ran += w.executed
	})
	g := NewWithT(t)
	g.Expect(issued).To(BeNumerically(">", 2000), "the runs must issue orders, or they check nothing")
	g.Expect(ran).To(BeNumerically(">", 2000))
}

// TestClosesImmediately covers servers without fences: after anything but a completed load, a load
// that is still in flight could arrive uncounted.
func TestClosesImmediately(t *testing.T) {
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

func TestOutcomeIsNotSettledWhileLoading(t *testing.T) {
	g := NewWithT(t)
	o := &wire.Order{Action: wire.OrderAction_ORDER_LOAD, Server: "s", Item: &wire.Item{Model: "m", Version: "1"}}
	_, settled := control.OutcomeFromState(o, &engine.State{Residents: []engine.Resident{{Model: "m", Version: "1", Loading: true}}})
	g.Expect(settled).To(BeFalse())
	out, settled := control.OutcomeFromState(o, &engine.State{Residents: []engine.Resident{{Model: "m", Version: "1"}}})
	g.Expect(settled && out.Done).To(BeTrue())
	out, settled = control.OutcomeFromState(o, &engine.State{})
	g.Expect(settled && !out.Done).To(BeTrue())
}
