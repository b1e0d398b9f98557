package gateway

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"leverdrum/level"
	"leverdrum/state"
	"leverdrum/wire"
)

// Rules for requests that this box relays through another one, since it cannot reach the server:
//
//  1. This box chooses the server, and counts, limits and records the request as if it sent it by itself. The other box sends
//     it once, on a connection of its own, and forwards the response as it arrives. It never relays it again.
//  2. A box relays only while it reaches the servers itself. It declines before anything is sent, and another box is asked.
//  3. A box asks a few others, chosen by rendezvous hashing over both names, so that boxes that are cut off together spread
//     their requests over all others. Of those that relay, the one with the fewest requests of this box is used.
//  4. A relaying box that sends no frame for relaySilence is given up. The request may then have run.
//  5. If no box relays, requests are rejected at once.

const (
	// relaySilence is the time without a frame after which a relaying box is given up. It sends one every relayAliveInterval.
	relaySilence       = time.Second
	relayAliveInterval = 250 * time.Millisecond
	// relayBoxTTL is how long a box counts as one that relays after it last did or offered to.
	relayBoxTTL = 2 * time.Second
	// declinedTTL is how long a box that declined, or could not be asked, is not asked again.
	declinedTTL = time.Second
	// offersAtOnce is the number of boxes that are asked at once whether they relay, and wantedRelayBoxes the number of boxes
	// that are wanted.
	offersAtOnce     = 6
	wantedRelayBoxes = 3
	// offerTimeout bounds the time until a box answers, including the connection to it.
	offerTimeout = 400 * time.Millisecond
	// maxRelayBoxes is the number of boxes that are asked in turn to relay one request.
	maxRelayBoxes = 3
)

// RelayStream carries the answer to a request that another box relays.
type RelayStream interface {
	// Receive returns the next frame, or an error once the other box or the connection to it has ended.
	Receive(*wire.RelayFrame) error
	Close() error
}

// OpenRelay asks a box to relay a request. sent reports whether the box may have received the request; it is false only if the
// error is not nil. The context bounds only the opening.
type OpenRelay func(ctx context.Context, box string, r *wire.RelayRequest) (s RelayStream, sent bool, err error)

// relays knows the boxes that relay requests of this one.
type relays struct {
	open OpenRelay // nil: no box relays
	self string
	view func() *state.State

	mu        sync.Mutex
	relaysFor map[string]time.Time // boxes that relay, until when that counts
	declined  map[string]time.Time // boxes that do not, until when they are not asked
	inFlight  map[string]int       // requests of this box, by relaying box
	asking    bool                 // boxes are being asked whether they relay
	changed   chan struct{}        // closed when a box has offered to relay, or all were asked
}

func newRelays(open OpenRelay, self string, view func() *state.State) *relays {
	return &relays{open: open, self: self, view: view, relaysFor: map[string]time.Time{}, declined: map[string]time.Time{}, inFlight: map[string]int{}, changed: make(chan struct{})}
}

// enabled reports whether boxes relay requests for each other.
func (r *relays) enabled() bool { return r != nil && r.open != nil && r.view().Level >= level.Relays }

// acquire returns a box that relays a request, other than the excluded ones, and waits while boxes are asked whether they do. ok
// is false if there is none. The caller must release the box.
func (r *relays) acquire(ctx context.Context, exclude []string) (box string, ok bool) {
	for asked := false; ; {
		r.mu.Lock()
		changed, asking := r.changed, r.asking
		r.mu.Unlock()
		if box, ok = r.least(exclude); ok {
			return box, true
		}
		switch {
		case asking:
		case asked, !r.refresh():
			return "", false
		default:
			asked = true
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return "", false
		}
	}
}

// least returns the known box that relays the fewest requests of this one (3).
func (r *relays) least(exclude []string) (box string, ok bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var known []string
	for b, until := range r.relaysFor {
		if now.Before(until) && !slices.Contains(exclude, b) {
			known = append(known, b)
		}
	}
	if len(known) == 0 {
		return "", false
	}
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	box = slices.MinFunc(known, func(a, b string) int { return cmp.Compare(r.inFlight[a], r.inFlight[b]) })
	r.inFlight[box]++
	return box, true
}

func (r *relays) release(box string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight[box]--; r.inFlight[box] <= 0 {
		delete(r.inFlight, box)
	}
}

// recordAnswer records whether a box relayed, or offered to, or did not.
func (r *relays) recordAnswer(box string, relays bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if relays {
		r.relaysFor[box] = now.Add(relayBoxTTL)
		delete(r.declined, box)
		r.notify()
		return
	}
	delete(r.relaysFor, box)
	r.declined[box] = now.Add(declinedTTL)
}

// refresh begins to ask boxes whether they relay, unless it is under way. It returns false if boxes do not relay.
func (r *relays) refresh() bool {
	if !r.enabled() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.asking {
		r.asking = true
		go r.askBoxes()
	}
	return true
}

// notify wakes those that wait for a box. The caller holds the lock.
func (r *relays) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// askBoxes asks candidates, offersAtOnce at a time, until wantedRelayBoxes have offered to relay or all were asked.
func (r *relays) askBoxes() {
	offers := 0
	for list := r.candidates(); len(list) > 0 && offers < wantedRelayBoxes; {
		batch := list[:min(len(list), offersAtOnce)]
		list = list[len(batch):]
		results := make(chan bool, len(batch))
		for _, box := range batch {
			go func() {
				offered := r.ask(box)
				r.recordAnswer(box, offered)
				results <- offered
			}()
		}
		for range batch {
			if <-results {
				offers++
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asking = false
	r.notify()
}

// ask reports whether a box offers to relay.
func (r *relays) ask(box string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
	defer cancel()
	s, _, err := r.open(ctx, box, &wire.RelayRequest{})
	if err != nil {
		return false
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	f := &wire.RelayFrame{}
	return s.Receive(f) == nil && f.Relays
}

// candidates returns the boxes that may be asked to relay, in the order of rule 3.
func (r *relays) candidates() (list []string) {
	now := time.Now()
	view := r.view()
	r.mu.Lock()
	defer r.mu.Unlock()
	for box, until := range r.declined {
		if !now.Before(until) {
			delete(r.declined, box)
		}
	}
	hashes := map[string]uint64{}
	for box, m := range view.Members {
		if _, declined := r.declined[box]; declined || box == r.self || m.Leaving || m.EntryAddress == "" {
			continue
		}
		list = append(list, box)
		hashes[box] = xxhash.Sum64String(r.self + "\x00" + box)
	}
	slices.SortFunc(list, func(a, b string) int { return cmp.Compare(hashes[b], hashes[a]) })
	return list
}

// errNoRelay is the cause of an attempt that was never sent, since no box relays it.
var errNoRelay = errors.New("no other box relays requests")
