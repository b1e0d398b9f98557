package gateway

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/dialect"
	"leverdrum/loadshare"
	"leverdrum/wire"
)

// Guards against choices that ignore what other boxes saw failing, that change where all servers fail alike, and that send
// requests to a server judged failing while another one is left. Prompts take 100 ms.
func TestChoiceByFailingShares(t *testing.T) {
	queued := func(prefill time.Duration) map[string]loadshare.Outstanding {
		return map[string]loadshare.Outstanding{"i1": {Prefill: prefill}, "i2": {Prefill: prefill}}
	}
	for _, row := range []struct {
		name       string
		failing    map[string]float64
		others     map[string]loadshare.Outstanding
		repeatable bool
		tried      bool   // i2
		want       string // servers that are chosen
	}{
		{"a part fails: the attempt may be repeated", map[string]float64{"i0": 0.4}, queued(95 * time.Millisecond), true, false, "i0"},
		{"a part fails: it may not", map[string]float64{"i0": 0.4}, queued(95 * time.Millisecond), false, false, "i1 i2"},
		{"all fail alike", map[string]float64{"i0": 0.4, "i1": 0.4, "i2": 0.4}, nil, false, false, "i0 i1 i2"},
		{"judged failing", map[string]float64{"i0": 0.5, "i1": 0.5}, map[string]loadshare.Outstanding{"i2": {Prefill: 9 * time.Second}}, false, false, "i2"},
		{"no other server is left", map[string]float64{"i0": 0.9, "i1": 0.6}, nil, false, true, "i1"},
		{"load is not shared", nil, nil, true, false, "i0 i1 i2"},
		{"all are judged failing", map[string]float64{"i0": 0.7, "i1": 0.7, "i2": 0.7}, nil, true, false, "i0 i1 i2"},
	} {
		g := NewWithT(t)
		d, list, chosen := newDirectory("h", 0, nil), newServers(3), map[string]int{}
		d.boxCount.Store(1_000_000) // no probes
		w := criteria{prompt: dialect.Prompt{Model: "m", Tokens: 1000}, prefillRate: 0.1, load: &knownLoad{failing: row.failing, others: row.others}, repeatable: row.repeatable}
		w.targets = targets{firstEvent: 4000}
		if row.tried {
			w.tried = list[2:]
		}
		if row.failing == nil {
			w.load = nil
		}
		for range 200 {
			chosen[d.choose(list, w).server.id]++
		}
		g.Expect(strings.Join(slices.Sorted(maps.Keys(chosen)), " ")).To(Equal(row.want), row.name)
	}
}

// Guards against probes that take requests which may not be repeated or were tried elsewhere, and against more of them than
// one in half a second over all boxes.
func TestFailingServersAreProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d, list, probes := newDirectory("h", 0, nil), newServers(2), 0
		d.boxCount.Store(10)
		w := criteria{prompt: dialect.Prompt{Model: "m", Tokens: 1000}, prefillRate: 0.1, load: &knownLoad{failing: map[string]float64{"i0": 1}}, repeatable: true}
		once, again := w, w
		once.repeatable, again.tried = false, newServers(1)
		for range 100_000 {
			time.Sleep(100 * time.Millisecond)
			g.Expect(d.choose(list, once).server.id).To(Equal("i1"))
			g.Expect(d.choose(list, again).server.id).To(Equal("i1"))
			if d.choose(list, w).server.id == "i0" {
				probes++
			}
		}
		g.Expect(probes).To(BeNumerically("~", 2000, 300), "10,000 s, one in 5 s")
	})
}

// newSharers returns running Sharers of boxes in three halls.
func newSharers(ctx context.Context, boxes int, servers []*server) (sharers []*loadshare.Sharer) {
	topology, start := loadshare.Topology{Pools: map[string]bool{"p": true}}, time.Now()
	for _, s := range servers {
		topology.Servers = append(topology.Servers, s.id)
	}
	for i := range boxes {
		m := loadshare.Member{ID: fmt.Sprint("b", i), Hall: fmt.Sprint("h", i%3), Disk: true}
		topology.Members = append(topology.Members, m)
		open := func(_ context.Context, to string, kind wire.LoadStream_Kind) (loadshare.Stream, error) {
			near, far := loadshare.Pipe()
			go sharers[simIndex(to)].Serve(ctx, m.ID, kind, far)
			return near, nil
		}
		sharers = append(sharers, loadshare.New(loadshare.Options{Self: m.ID, Hall: m.Hall, Open: open, Now: func() time.Duration { return time.Since(start) }, Ignored: func(string) {}}))
	}
	for _, s := range sharers {
		s.Configure(topology)
		go s.Run(ctx)
	}
	return sharers
}

// Guards against a failing server that each box has to find out by itself, and against one that is used again late after it
// recovered: 82 boxes send 270 requests a second for 36 models with 3 copies each. One of 60 servers ends each attempt after
// 1 ms for 6 s. A third of the requests may not be repeated.
func TestAFailingServerIsAvoidedByAllBoxes(t *testing.T) {
	const boxes, failFrom, failUntil, bad = 82, 5 * time.Second, 11 * time.Second, "i7"
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		draw, views := rand.New(rand.NewPCG(1, 2)), [boxes][]*server{}
		for i := range views {
			views[i] = newServers(simServers)
		}
		sharers, start, d := newSharers(ctx, boxes, views[0]), time.Now(), newDirectory("h", 0, nil)
		d.boxCount.Store(boxes)
		var third, avoidedAfter, workingAfter time.Duration
		failed := 0
		attempt := func(load *loadshare.Sharer, c choice, fails bool) {
			begun, work := time.Now(), duration(c.work)
			c.server.beginAttempt(begun, c.work)
			load.Begin(c.server.id, work)
			if fails {
				work = time.Millisecond
			}
			time.Sleep(work)
			load.RecordOutcome(c.server.id, fails)
			load.FirstEvent(c.server.id, duration(c.work))
			load.End(c.server.id)
			c.server.endAttempt(begun, c.work, true)
			if fails {
				c.server.recordFailure(time.Now())
			}
		}
		for time.Since(start) < failUntil+3*time.Second {
			time.Sleep(duration(1000 * draw.ExpFloat64() / 270))
			box, model, now := draw.IntN(boxes), draw.IntN(simModels), time.Since(start)
			load := sharers[box]
			w := criteria{prompt: dialect.Prompt{Model: "m", Tokens: 4000}, prefillRate: defaultPrefillRate, load: load, targets: targets{firstEvent: 400, gap: 300, poolGap: 300}, repeatable: draw.IntN(3) > 0}
			avoided := load.FailingShare(bad) >= loadshare.FailingFrom
			if now > failUntil && workingAfter == 0 && !avoided {
				workingAfter = now - failUntil
			}
			var list []*server
			for i, s := range views[box] {
				if i%simModels == model || (i+7)%simModels == model || (i+19)%simModels == model {
					list = append(list, s)
				}
			}
			c := d.choose(list, w)
			for ; c.server.id == bad && now > failFrom && now < failUntil; c = d.choose(list, w) {
				attempt(load, c, true)
				switch failed++; {
				case failed == 3:
					third = now
				case failed > 3 && now < third+1500*time.Millisecond && !avoided:
					avoidedAfter = now - third
				}
				w.tried = append(w.tried, c.server)
			}
			go attempt(load, c, false)
		}
		t.Logf("%d attempts failed; avoided %v after the third, used %v after recovery", failed, avoidedAfter, workingAfter)
		g.Expect(avoidedAfter).To(BeNumerically("<=", 500*time.Millisecond))
		g.Expect(failed).To(BeNumerically("<=", 33), "some two probes a second")
		g.Expect(workingAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", 2*time.Second)))
		time.Sleep(time.Second) // the last attempts end
		cancel()
		time.Sleep(time.Second)
	})
}
