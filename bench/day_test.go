package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"leverdrum/placement"
	"leverdrum/standin"
	"leverdrum/state"
	"leverdrum/wire"
)

// A day is replayed in steps against the real placement decisions and the real
// ledger; servers and requests are only modeled as sums. Work for the copies on a
// server that exceeds the server's capacity counts as not answered in time.
const (
	dayStep    = 30 * time.Second
	daySteps   = int(24 * time.Hour / dayStep)
	orderSteps = 1 // duration of a load or unload
	// serviceTime is how long one request occupies a slot.
	serviceTime = 2 * time.Second
	// meanUtilization is the day's average demand as a fraction of the capacity of all slots.
	meanUtilization = 0.45
	// warmupSteps are excluded from the result, since the first placement takes time.
	warmupSteps = 20
)

// day is the demand on one fleet over a day, and the failures of its servers.
type day struct {
	models []string
	rates  [][]float64 // requests per second, by step and model
	down   func(step int, server, hall string) bool
}

// newDay generates a random day: the demand of each model follows daylight in one of
// three regions, and some models have a surge to ten times their demand.
func newDay(st *state.State, seed uint64) *day {
	rng := rand.New(rand.NewPCG(seed, 1))
	d := &day{}
	for _, m := range st.Fleet.SortedModels() {
		d.models = append(d.models, m.Name)
	}
	weight := make([]float64, len(d.models))
	phase := make([]float64, len(d.models))
	surge := make([]int, len(d.models))
	for i := range d.models {
		weight[i] = 1 / math.Pow(float64(1+rng.IntN(len(d.models))), 0.8)
		phase[i] = float64(rng.IntN(3)) * 8 // three regions
		surge[i] = -1
		if rng.IntN(3) == 0 {
			surge[i] = rng.IntN(daySteps)
		}
	}
	hour := float64(time.Hour / dayStep)
	slots := 0.0
	for _, s := range st.Fleet.Servers {
		slots += float64(s.Kind.Concurrency)
	}
	sum := 0.0
	for step := range daySteps {
		row := make([]float64, len(d.models))
		for i := range d.models {
			daylight := math.Sin((float64(step)/hour - phase[i] - 6) / 24 * 2 * math.Pi)
			row[i] = weight[i] * (0.1 + max(0, daylight))
			if surge[i] >= 0 {
				row[i] *= surgeAt(float64(step-surge[i]) / hour)
			}
			sum += row[i]
		}
		d.rates = append(d.rates, row)
	}
	scale := meanUtilization * slots / serviceTime.Seconds() / (sum / float64(daySteps))
	for _, row := range d.rates {
		for i := range row {
			row[i] *= scale
		}
	}
	d.down = failures(st)
	return d
}

// surgeAt returns the demand factor of a surge, by the hours since its start: it
// grows tenfold within one hour and declines within another.
func surgeAt(hours float64) float64 {
	switch {
	case hours < 0 || hours > 2:
		return 1
	case hours < 1:
		return math.Pow(10, hours)
	}
	return math.Pow(10, 2-hours)
}

// failures takes three servers down for one hour each, and one hall for half an
// hour.
func failures(st *state.State) func(step int, server, hall string) bool {
	servers := st.Fleet.SortedServers()
	hour := int(time.Hour / dayStep)
	return func(step int, server, hall string) bool {
		for i, at := range []int{4 * hour, 10 * hour, 19 * hour} {
			if server == servers[i*5].Name && step >= at && step < at+hour {
				return true
			}
		}
		return hall == servers[1].Hall && step >= 14*hour && step < 14*hour+hour/2
	}
}

// mean returns the average demand of each model over the day.
func (d *day) mean() []float64 {
	sum := make([]float64, len(d.models))
	for _, row := range d.rates {
		for i, r := range row {
			sum[i] += r / float64(daySteps)
		}
	}
	return sum
}

func (d *day) demand(row []float64) map[string]placement.Demand {
	m := map[string]placement.Demand{}
	for i, name := range d.models {
		m[name] = placement.Demand{Requests: row[i], BusySlots: row[i] * serviceTime.Seconds()}
	}
	return m
}

// outcome is the result of a placement policy over a day.
type outcome struct {
	offered, attained float64
	moves             uint64
	unreachable       int // model-steps without a copy on a working server
}

func (o outcome) attainment() float64 { return o.attained / o.offered }

// replay runs a policy through the day. The policy sees the demand of the previous
// step. The frozen policy only restores lost copies.
func replay(t testing.TB, text string, d *day, weight float64, frozen bool) outcome {
	st, err := standin.CommittedState(text)
	if err != nil {
		t.Fatal(err)
	}
	st.Fleet.MoveWeight = weight
	placeInitial(t, st, d)
	var o outcome
	before := st.Moves
	due := map[uint64]int{}
	wasDown := map[string]bool{}
	for step := range daySteps {
		closeDueOrders(st, due, step)
		down := observeFailures(st, d, step, wasDown)
		lastRates := d.rates[max(0, step-1)]
		in := placement.Input{State: st, Demand: d.demand(lastRates), Down: down, LeaderFor: time.Hour}
		if frozen {
			in.LeaderFor = 0 // disables moves that follow demand
		}
		for _, dec := range placement.Decide(in).Decisions {
			if r := standin.ApplyCommand(st, &wire.Command{Kind: &wire.Command_Issue{Issue: &wire.IssueOrder{Order: dec.Order}}}); r.Err == nil {
				due[r.Order.Id] = step + orderSteps
			}
		}
		if step >= warmupSteps {
			o.add(st, d, step, down)
		}
	}
	o.moves = st.Moves - before
	return o
}

// placeInitial makes the initial placement for the day's average demand. The
// static baseline keeps it.
func placeInitial(t testing.TB, st *state.State, d *day) {
	weight := st.Fleet.MoveWeight
	st.Fleet.MoveWeight = min(weight, 1)
	for range 1000 {
		plan := placement.Decide(placement.Input{State: st, Demand: d.demand(d.mean()), LeaderFor: time.Hour})
		if len(plan.Decisions) == 0 {
			st.Fleet.MoveWeight = weight
			return
		}
		for _, dec := range plan.Decisions {
			r := standin.ApplyCommand(st, &wire.Command{Kind: &wire.Command_Issue{Issue: &wire.IssueOrder{Order: dec.Order}}})
			if r.Err != nil {
				t.Fatal(r.Err)
			}
			closeOrder(st, r.Order.Id)
		}
	}
	t.Fatal("the initial placement does not converge")
}

func closeOrder(st *state.State, id uint64) {
	standin.ApplyCommand(st, &wire.Command{Kind: &wire.Command_Close{Close: &wire.CloseOrder{Id: id, Outcome: wire.OrderOutcome_OUTCOME_DONE}}})
}

func closeDueOrders(st *state.State, due map[uint64]int, step int) {
	for id, at := range due {
		if step >= at {
			closeOrder(st, id)
			delete(due, id)
		}
	}
}

// observeFailures returns the servers that are down. A recovered server starts a new incarnation and has lost all
// copies.
func observeFailures(st *state.State, d *day, step int, wasDown map[string]bool) map[string]bool {
	down := map[string]bool{}
	for name, s := range st.Fleet.Servers {
		if d.down(step, name, s.Hall) {
			down[name], wasDown[name] = true, true
			continue
		}
		if wasDown[name] {
			delete(wasDown, name)
			for _, settled := range []bool{false, true} {
				standin.ApplyCommand(st, &wire.Command{Kind: &wire.Command_Server{Server: &wire.ServerSeen{Server: name, Incarnation: fmt.Sprint("i", step), Settled: settled}}})
			}
		}
	}
	return down
}

// add accounts for one step: the requests of each model are distributed over its
// copies so that the utilization of their servers is as even as possible.
func (o *outcome) add(st *state.State, d *day, step int, down map[string]bool) {
	copies := map[string][]string{}
	for p, r := range st.Residents.All() {
		if p.Adapter == "" && r.Phase == wire.Phase_PHASE_READY && !down[p.Server] {
			copies[p.Model] = append(copies[p.Model], p.Server)
		}
	}
	size := map[string]float64{}
	for name, s := range st.Fleet.Servers {
		size[name] = float64(s.Kind.Concurrency)
	}
	share := map[string][]float64{}
	for model, list := range copies {
		slices.Sort(list)
		share[model] = make([]float64, len(list))
		for i := range list {
			share[model][i] = 1 / float64(len(list))
		}
	}
	work := func() map[string]float64 {
		sum := map[string]float64{}
		for i, model := range d.models {
			for c, server := range copies[model] {
				sum[server] += d.rates[step][i] * serviceTime.Seconds() * share[model][c]
			}
		}
		return sum
	}
	for range 12 {
		use := work()
		for _, model := range d.models {
			total := 0.0
			for c, server := range copies[model] {
				share[model][c] *= math.Sqrt(size[server] / max(use[server], 0.01))
				total += share[model][c]
			}
			for c := range copies[model] {
				share[model][c] /= total
			}
		}
	}
	use := work()
	for i, model := range d.models {
		rate := d.rates[step][i] * dayStep.Seconds()
		o.offered += rate
		if len(copies[model]) == 0 {
			o.unreachable++
		}
		for c, server := range copies[model] {
			o.attained += rate * share[model][c] * min(1, size[server]/max(use[server], 1e-9))
		}
	}
}

// upperBound returns the attainment that no placement can exceed: that of a fleet in which every slot serves every model.
func upperBound(st *state.State, d *day) float64 {
	offered, attained := 0.0, 0.0
	for step := warmupSteps; step < daySteps; step++ {
		slots, demand := 0.0, 0.0
		for name, s := range st.Fleet.Servers {
			if !d.down(step, name, s.Hall) {
				slots += float64(s.Kind.Concurrency)
			}
		}
		for _, r := range d.rates[step] {
			demand += r
		}
		offered += demand
		attained += min(demand, slots/serviceTime.Seconds())
	}
	return attained / offered
}

func fleetFile(t testing.TB, name string) string {
	text, err := os.ReadFile(filepath.Join("..", "examples", name+".ini"))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

const frozenWeight = 1e18

// BenchmarkDay replays a day of each user's fleet and compares the policy with
// static placement by average demand, with a greedy policy that follows demand
// at no cost of moves, and with the upper bound.
func BenchmarkDay(b *testing.B) {
	for _, user := range []string{"buecherbruecke", "tabua"} {
		b.Run(user, func(b *testing.B) {
			text := fleetFile(b, user)
			for b.Loop() {
				st, err := standin.CommittedState(text)
				if err != nil {
					b.Fatal(err)
				}
				d := newDay(st, 7)
				ours := replay(b, text, d, st.Fleet.MoveWeight, false)
				static := replay(b, text, d, frozenWeight, true)
				greedy := replay(b, text, d, 0, false)
				report := func(name string, o outcome) {
					b.ReportMetric(o.attainment(), name+"-attainment")
					b.ReportMetric(float64(o.moves), name+"-moves")
				}
				report("ours", ours)
				report("static", static)
				report("greedy", greedy)
				b.ReportMetric(upperBound(st, d), "bound-attainment")
				b.ReportMetric(float64(ours.unreachable), "unreachable-steps")
				if ours.attainment() <= static.attainment() {
					b.Error("the policy must attain more than static placement")
				}
				if ours.moves > greedy.moves {
					b.Error("the policy must not move more than the greedy policy")
				}
			}
		})
	}
}

// TestDayCurve writes the curve of attainment against moves to day.csv and
// day.svg in the folder DAY_OUT.
func TestDayCurve(t *testing.T) {
	folder := os.Getenv("DAY_OUT")
	if folder == "" {
		t.Skip("DAY_OUT is not set; make curve sets it")
	}
	var out strings.Builder
	out.WriteString("user,move-weight,attainment,moves,unreachable-steps\n")
	curves := map[string][]point{}
	for _, user := range []string{"buecherbruecke", "tabua"} {
		text := fleetFile(t, user)
		st, err := standin.CommittedState(text)
		if err != nil {
			t.Fatal(err)
		}
		d := newDay(st, 7)
		add := func(label string, o outcome) {
			fmt.Fprintf(&out, "%s,%s,%.4f,%d,%d\n", user, label, o.attainment(), o.moves, o.unreachable)
			curves[user] = append(curves[user], point{label, o})
		}
		for _, weight := range []float64{0, 1, 10, 30, 100, 200, 400, 800, 1600, 3200} {
			add(strconv.FormatFloat(weight, 'g', -1, 64), replay(t, text, d, weight, false))
		}
		add("static", replay(t, text, d, frozenWeight, true))
		fmt.Fprintf(&out, "%s,bound,%.4f,0,0\n", user, upperBound(st, d))
	}
	if err := os.WriteFile(filepath.Join(folder, "day.csv"), []byte(out.String()), 0o644); err != nil {
		t.Fatal(err)
	}
	drawCurves(t, filepath.Join(folder, "day.svg"), curves)
}
