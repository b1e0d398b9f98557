package gateway

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"leverdrum/dialect"
	"leverdrum/fleet"
)

// Rules for the choice of a server:
//
//  1. A model's request goes to a server where the model, and the adapter, are
//     ready. Of these, the one with the least cost is taken: the time to read
//     what it has not kept of the prompt, and the time that others wait there.
//  2. What a server has kept is known from this box's own attempts. Where nothing
//     is known, the prompt's shared parts are taken to be kept at their home: the
//     server with the highest hash of both, which all boxes find alike.
//  3. A plain request goes to the one of two servers drawn at random that has
//     less in flight. The first is drawn from those that a connection rests to, where there
//     are any, and taken where that makes no difference; else one of the own data hall.
//  4. A server that failed lately, is silent, or was tried is taken only when no
//     other is left. One that leaves is taken, while no other is there, for a part
//     of the time that it keeps serving; one whose address another has, never.
//  5. What another server has kept of the prompt and the chosen one has not is
//     fetched from there, where servers can: that takes a fifth of reading it.
//  6. A server that lately held up streams beside the reading of prompts (it is a
//     slow one) is avoided, the more the longer the prompt.
//  7. A server that is at the limit that it names, or rests (package pushback), is skipped. One that names a limit costs as
//     much as one whose slots are taken: work goes to the others first.
//  8. A server that no connection rests to costs the opening of one, and of servers that cost
//     the same any is taken: 300 boxes that each see a few requests a second must not all
//     take the first.

const (
	// minFetch is how many tokens a server must lack to fetch them from another.
	minFetch = 512
	// fetchSetup is the time in milliseconds that a fetch takes beside its tokens.
	fetchSetup = 4.0
	// fullPenalty is the cost in milliseconds of a server whose slots are taken.
	fullPenalty = 400.0
	// hallPenalty is the cost in milliseconds of another data hall.
	hallPenalty = 2.0
	// openPenalty is the cost in milliseconds of opening a connection: a way there and back,
	// and the millisecond in which a server sets it up.
	openPenalty = 2.0
)

// wish is what the choice of a server depends on.
type wish struct {
	prompt dialect.Prompt
	keys   []uint64
	tried  []*server
	rank   int     // its urgency, 0 the highest
	read   float64 // milliseconds for a token that the server reads
	fetch  float64 // milliseconds for a token that another server has kept; 0: not done
}

// choice is a server with what a request is reckoned to cost there.
type choice struct {
	server *server
	from   *server // has kept parts that server lacks and is to fetch
	unread int     // tokens that server is to read
	work   float64 // milliseconds of reading and fetching
	waits  float64 // milliseconds before that
}

// choose returns a server of the list, or no choice when there is none.
func (d *directory) choose(list []*server, w wish) choice {
	now := time.Now()
	usable := d.usable(list, now, w)
	switch {
	case len(usable) == 0:
		return choice{}
	case w.prompt.Model == "":
		return choice{server: d.lighter(usable, now)}
	}
	return d.cheapest(usable, now, w)
}

// wantedOf names what a prompt needs at a server: the model, or the adapter with
// its model.
func wantedOf(p dialect.Prompt) string {
	if p.Adapter == "" {
		return p.Model
	}
	return fleet.AdapterName(p.Model, p.Adapter)
}

// usable is rules 4 and 7.
func (d *directory) usable(list []*server, now time.Time, w wish) []*server {
	p, tried := w.prompt, w.tried
	var good, poor, parting []*server
	blocks := d.pushback.Active()
	for _, s := range list {
		since, leaves := s.parted(now)
		switch {
		case s.gone(), p.Model != "" && s.down(now) && !s.probe(now):
		case leaves:
			if since < d.parting && !slices.Contains(tried, s) {
				parting = append(parting, s)
			}
		case slices.Contains(tried, s):
		case blocks && d.blocked(s, w.rank):
		case p.Model != "" && s.lacking(wantedOf(p), now):
		case s.out(now), s.silent.Load():
			poor = append(poor, s)
		default:
			good = append(good, s)
		}
	}
	switch {
	case len(good) > 0:
		return good
	case len(parting) > 0:
		return parting
	}
	return poor
}

// blocked reports whether a server takes no request of a rank now.
func (d *directory) blocked(s *server, rank int) bool {
	_, blocked := d.pushback.Blocked(s.id, rank)
	return blocked
}

// limited is the cost in milliseconds of a server for the limit that it names (7). One that is due for a try is taken.
func (d *directory) limited(s *server) float64 {
	switch {
	case d.pushback.Limit(s.id) == 0:
		return 0
	case d.pushback.DueForProbe(s.id):
		return math.Inf(-1)
	}
	return fullPenalty
}

// anyUp reports whether some server of the list takes connections and requests, and stays: else its
// models are as good as nowhere.
func (d *directory) anyUp(list []*server) bool {
	now := time.Now()
	return slices.ContainsFunc(list, func(s *server) bool {
		_, leaves := s.parted(now)
		return !leaves && !s.gone() && !s.down(now) && d.pushback.Sendable(s.id)
	})
}

// lighter is rule 3.
func (d *directory) lighter(list []*server, now time.Time) *server {
	a, b := list[rand.IntN(len(list))], list[rand.IntN(len(list))]
	known := false
	if open := resting(list, now); len(open) > 0 {
		a, known = open[rand.IntN(len(open))], true
	}
	_, loadA := a.load(now)
	_, loadB := b.load(now)
	if d.pushback.Active() {
		loadA += d.limited(a) / fullPenalty
		loadB += d.limited(b) / fullPenalty
	}
	switch {
	case loadA < loadB:
		return a
	case loadB < loadA:
		return b
	case !known && b.hall == d.hall:
		return b
	}
	return a
}

// resting returns the servers that a connection rests to.
func resting(list []*server, now time.Time) (open []*server) {
	for _, s := range list {
		if s.conns.rests(now) {
			open = append(open, s)
		}
	}
	return open
}

// cheapest is rules 1, 2, 5 and 6.
func (d *directory) cheapest(list []*server, now time.Time, w wish) choice {
	kept := keptBy(list, w)
	source := mostKept(list, kept)
	var best choice
	least := 0.0
	limits := d.pushback.Active()
	first := rand.IntN(len(list)) // (8)
	for n := range list {
		i := (first + n) % len(list)
		s := list[i]
		c := choice{server: s, waits: d.waiting(s, now)}
		read := kept[i]
		if lack := kept[source] - read; w.fetch > 0 && lack >= minFetch {
			c.from = list[source]
			c.work = fetchSetup + float64(lack)*w.fetch
			read = kept[source]
		}
		c.unread = w.prompt.Tokens - min(read, w.prompt.Tokens)
		c.work += float64(c.unread) * w.read
		cost := c.work + c.waits + s.holdsUp(now, c.work)
		if limits {
			cost += d.limited(s)
		}
		if best.server == nil || cost < least {
			best, least = c, cost
		}
	}
	return best
}

// keptBy returns how many tokens of the prompt each server has kept (2).
func keptBy(list []*server, w wish) []int {
	kept := make([]int, len(list))
	home := homeOf(list, w.keys)
	for i, s := range list {
		kept[i] = s.keptTokens(w.prompt, w.keys)
		if kept[i] == 0 && s == home {
			kept[i] = sharedTokens(w.prompt)
		}
	}
	return kept
}

// mostKept returns the place of the largest number.
func mostKept(list []*server, kept []int) (most int) {
	for i := range list {
		if kept[i] > kept[most] {
			most = i
		}
	}
	return most
}

func (d *directory) waiting(s *server, now time.Time) float64 {
	waits, taken := s.load(now)
	cost := waits
	if taken*float64(d.boxes()) >= 1 {
		cost += fullPenalty * taken
	}
	if s.hall != d.hall {
		cost += hallPenalty
	}
	if !s.conns.rests(now) {
		cost += openPenalty
	}
	return cost
}

// sharedTokens counts the parts that are shared with other requests: all but the
// last.
func sharedTokens(p dialect.Prompt) (n int) {
	for i := range max(0, len(p.Parts)-1) {
		n += p.Parts[i].Tokens
	}
	return n
}

// homeOf is rule 2.
func homeOf(list []*server, keys []uint64) *server {
	if len(keys) < 2 {
		return nil
	}
	shared := keys[len(keys)-2]
	var home *server
	var highest uint64
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], shared)
	for _, s := range list {
		binary.LittleEndian.PutUint64(pair[8:], s.hash)
		if h := xxhash.Sum64(pair[:]); home == nil || h > highest {
			home, highest = s, h
		}
	}
	return home
}

// pick draws one of a route's shares.
func pick(split []fleet.Share) string {
	total := 0
	for _, s := range split {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	n := rand.IntN(total)
	for _, s := range split {
		if n -= s.Weight; n < 0 {
			return s.Pool
		}
	}
	return ""
}
