package placement_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"leverdrum/internal/fixed"
	"leverdrum/ledger"
	"leverdrum/placement"
	"leverdrum/standin"
	"leverdrum/state"
	"leverdrum/wire"
)

func TestMain(m *testing.M) {
	fixed.Rapid(10_000) // the rarest fault showed once in 7,000 runs
	m.Run()
}

const (
	serverGiB  = 10
	mostRounds = 200
)

// standing is a model, where its first copy stands and how many places it is asked for.
type standing struct{ size, copies, server, places int }

// fullFleet is a fleet that is nearly full, with an even demand, and perhaps a lost
// server.
type fullFleet struct {
	t interface {
		Fatalf(format string, args ...any)
	}
	st      *state.State
	servers []string
	sizes   map[string]int // GiB, by model
	demand  map[string]placement.Demand
	down    map[string]bool
	had     map[string]bool // models that had a copy at some time
	shifted int
}

// fleetOf returns the agreed state of a fleet that holds nothing yet.
func fleetOf(servers int, models []standing) (*state.State, error) {
	text := "[fleet]\nnumber = 1\nmove-weight = 10\n[hall a]\n[hall b]\n[class c]\ndeadline = 10s\n[kind k]\nmemory = 10GiB\nchecks-fences = true\nconcurrency = 10\n"
	for i := range servers {
		text += fmt.Sprintf("[server s%d]\naddress = 127.0.0.1:%d\nhall = %c\nkind = k\n", i, i+1, 'a'+rune(i%2))
	}
	for i, m := range models {
		text += fmt.Sprintf("[model m%d]\nversion = 1\nclass = c\nmemory = %dGiB\ncopies = %d\n", i, m.size, m.copies)
	}
	return standin.Agreed(text)
}

// drawFleet draws a fleet.
func drawFleet(t *rapid.T) *fullFleet {
	servers := rapid.IntRange(2, 6).Draw(t, "servers")
	models := make([]standing, rapid.IntRange(1, 3*servers).Draw(t, "models"))
	for i := range models {
		models[i].size = rapid.IntRange(1, 5).Draw(t, "size")
		models[i].copies = rapid.IntRange(1, 2).Draw(t, "copies")
	}
	if _, err := fleetOf(servers, models); err != nil {
		t.Skip("the models do not fit the fleet")
	}
	for i := range models {
		models[i].server = rapid.IntRange(0, servers-1).Draw(t, "server")
		models[i].places = rapid.IntRange(0, 12).Draw(t, "places")
	}
	return newFullFleet(t, servers, models, rapid.Bool().Draw(t, "a server is lost"))
}

// newFullFleet places what fits where it is to stand.
func newFullFleet(t interface{ Fatalf(string, ...any) }, servers int, models []standing, lost bool) *fullFleet {
	f := &fullFleet{t: t, sizes: map[string]int{}, demand: map[string]placement.Demand{}, down: map[string]bool{"s0": lost}, had: map[string]bool{}}
	var err error
	if f.st, err = fleetOf(servers, models); err != nil {
		t.Fatalf("%v", err)
	}
	for i := range servers {
		f.servers = append(f.servers, fmt.Sprint("s", i))
	}
	used := map[int]int{}
	for i, m := range models {
		name := fmt.Sprint("m", i)
		f.sizes[name] = m.size
		f.demand[name] = placement.Demand{Requests: float64(m.places), BusySlots: float64(m.places)}
		if used[m.server]+m.size <= serverGiB {
			used[m.server] += m.size
			standin.Ready(f.st, f.servers[m.server], 0, &wire.Item{Model: name, Version: "1"}, uint64(m.size)<<30)
		}
	}
	return f
}

// comeToRest decides until nothing is left to do.
func (f *fullFleet) comeToRest() {
	for rounds := 0; ; rounds++ {
		atRest, plan := f.round()
		if atRest {
			return
		}
		if rounds == mostRounds {
			f.t.Fatalf("the decisions never come to rest: %v", plan.Decisions)
		}
	}
}

// serving returns the servers that work and hold a copy.
func (f *fullFleet) serving(model string) []string {
	return slices.DeleteFunc(copies(f.st, model, "1"), func(s string) bool { return f.down[s] })
}

// round decides once and carries it out; it reports whether there was nothing to do.
func (f *fullFleet) round() (atRest bool, plan placement.Plan) {
	plan = placement.Decide(placement.Input{State: f.st, Demand: f.demand, Down: f.down, LeaderFor: time.Hour})
	for _, d := range plan.Decisions {
		if strings.HasPrefix(d.Reason, "stands in the way") {
			f.shifted++
		}
	}
	issued, refused := carryOut(f.st, plan, func() {
		for m := range f.had {
			if len(f.serving(m)) == 0 {
				f.t.Fatalf("%s lost its last copy", m)
			}
		}
	})
	if refused > 0 {
		f.t.Fatalf("the ledger turned an order down")
	}
	for m := range f.sizes {
		if len(f.serving(m)) > 0 {
			f.had[m] = true
		}
	}
	return issued == 0, plan
}

// room returns the bytes of a server that last copies leave: what another model's
// second copy takes counts as room.
func (f *fullFleet) room(server string) uint64 {
	book := &ledger.Inventory{Fleet: f.st.Fleet, Servers: f.st.Servers, Residents: f.st.Residents, Orders: f.st.Orders}
	room := serverGiB<<30 - book.UsedBytes(server, 0)
	for m, size := range f.sizes {
		if on := f.serving(m); len(on) > 1 && slices.Contains(on, server) {
			room += uint64(size) << 30
		}
	}
	return room
}

// TestDecisionsComeToRest lets the decisions follow a demand that does not change:
// they end, the ledger turns none down, no model loses its last copy, and none is
// left without one that fits on some server beside the last copies there.
func TestDecisionsComeToRest(t *testing.T) {
	shifted := 0
	rapid.Check(t, func(rt *rapid.T) {
		f := drawFleet(rt)
		f.comeToRest()
		for m, size := range f.sizes {
			for _, s := range f.servers {
				if !f.had[m] && !f.down[s] && f.room(s) >= uint64(size)<<30 {
					rt.Fatalf("%s has no copy and would fit on %s beside the last copies there", m, s)
				}
			}
		}
		shifted += f.shifted
	})
	if shifted == 0 {
		t.Error("no run needed a shift: they prove nothing of rule 8")
	}
}

// TestEvictionsDoNotDisturbEachOther is the fleet in which two copies that made room
// in one round came back in the next, for ever; one random fleet in 7,000 showed it.
func TestEvictionsDoNotDisturbEachOther(t *testing.T) {
	newFullFleet(t, 6, []standing{
		{5, 1, 3, 5}, {5, 1, 1, 9}, {1, 1, 0, 3}, {5, 2, 1, 7}, {2, 2, 3, 4},
		{2, 2, 5, 7}, {1, 1, 3, 10}, {2, 1, 2, 2}, {2, 1, 5, 5}, {1, 2, 2, 2},
	}, false).comeToRest()
}
