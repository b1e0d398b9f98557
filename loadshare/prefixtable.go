package loadshare

import (
	"math"
	"time"

	"leverdrum/wire"
)

// Rules of the prefixTable of a hub:
//
//  1. A server evicts the least recently used prefix first. A prefix counts as cached until its server has prefilled
//     cachedShare of its capacity since the prefix was last used; the rest of the capacity is for running requests, and for
//     uses that the hub missed.
//  2. A use is published if boxes do not know the prefix as cached, or half of the time has passed for which they were told
//     that it is, prefixesPerSecond at most. First come prefixes that were used there before, or with which a longer
//     prompt begins: the whole prompt of an attempt is a prefix as well, but few requests share it. Of these, and of the
//     others, the most recent uses come first.
//  3. That time is what the server takes to prefill the rest of cachedShare at its rate of the last rateSpan, within
//     minPrefixTTL to maxPrefixTTL.
//  4. At most maxTablePrefixes are kept, the most recently used ones.
const (
	cachedShare     = 0.7
	defaultCapacity = 200_000 // tokens, where it is not known
	maxCapacity     = 1_000_000_000
	maxUseTokens    = 10_000_000
	rateSpan        = 5 * time.Second
	minPrefixTTL    = time.Second
	maxPrefixTTL    = time.Minute
	// prefixesPerSecond and prefixBurst bound the prefixes sent to a box to 144 over any second. Alone in its message, one
	// takes maxPrefixBytes. At 1,000 boxes the hub publishes every 83 ms, in which 11 become due.
	prefixesPerSecond = 132
	prefixBurst       = 12
	maxPrefixBytes    = 17
	// maxTablePrefixes prefixes take 20 MiB.
	maxTablePrefixes = 200_000
	// maxDueUses bounds the uses of each priority that wait to be published. At prefixesPerSecond the oldest of them would be 4 s old.
	maxDueUses = 512
	// publishedUses is the number of publications that a box may be behind without missing one, some 2 s.
	publishedUses = 256
)

// prefixTable is what a hub knows of the prefixes that servers have cached.
type prefixTable struct {
	servers   map[uint32]*prefixServer
	uses      map[uint64]*prefixUse   // by prefixKey
	order     useList                 // of all servers
	lastUse   uint64                  // number of the last use
	due       [duePriorities][]dueUse // the most recent use last
	allowance allowance
	published queue[publishedPrefix]
}

// prefixServer is one server's cache.
type prefixServer struct {
	prefilled uint64 // tokens in all
	capacity  uint64
	rate      float64 // tokens a second, decaying over rateSpan
	ratedAt   time.Duration
	order     useList
}

// prefixUse is the last use of a prefix at a server.
type prefixUse struct {
	server, prefix uint32
	number         uint64
	prefilled      uint64        // by the server when the prefix was used
	refreshAt      time.Duration // before this, a use is not published
	removed        bool
	links          [2]useLink // in the lists of all servers, and of its own
}

// The priorities of uses that are due (2).
const (
	dueShared = iota
	dueOther
	duePriorities
)

// dueUse is a use to be published, unless a later one of the same prefix is.
type dueUse struct {
	use    *prefixUse
	number uint64
}

// publishedPrefix is a prefix that counts as cached at a server for a time.
type publishedPrefix struct {
	server, prefix uint32
	ttl            time.Duration
}

func newPrefixTable() *prefixTable {
	t := &prefixTable{servers: map[uint32]*prefixServer{}, uses: map[uint64]*prefixUse{}}
	t.order.which = ofAllServers
	t.published.length = publishedUses
	return t
}

func prefixKey(server, prefix uint32) uint64 { return uint64(server)<<32 | uint64(prefix) }

// record records an attempt: the server prefilled tokens and has cached the prefixes. The shortest prefix comes first.
func (t *prefixTable) record(now time.Duration, x *wire.CachedPrefixes) {
	s := t.servers[x.Server]
	if s == nil {
		s = &prefixServer{ratedAt: now}
		s.order.which = ofOneServer
		t.servers[x.Server] = s
	}
	s.capacity = defaultCapacity
	if x.Capacity > 0 {
		s.capacity = uint64(x.Capacity)
	}
	s.prefill(now, min(uint64(x.Tokens), s.capacity))
	t.evict(s)
	for i := len(x.Prefixes) - 1; i >= 0; i-- { // the first one is published first
		t.use(now, s, prefixKey(x.Server, x.Prefixes[i]), i < len(x.Prefixes)-1)
	}
	for len(t.uses) > maxTablePrefixes { // (4)
		t.remove(t.order.oldest)
	}
}

// prefill adds prefilled tokens.
func (s *prefixServer) prefill(now time.Duration, tokens uint64) {
	s.prefilled += tokens
	s.rate = s.rateAt(now) + float64(tokens)/rateSpan.Seconds()
	s.ratedAt = max(s.ratedAt, now)
}

func (s *prefixServer) rateAt(now time.Duration) float64 {
	return s.rate * math.Exp(-float64(max(0, now-s.ratedAt))/float64(rateSpan))
}

// left returns how many tokens the server prefills before a use no longer counts as cached (1).
func (s *prefixServer) left(u *prefixUse) float64 {
	return cachedShare*float64(s.capacity) - float64(s.prefilled-u.prefilled)
}

// evict removes the prefixes that the server has evicted since (1).
func (t *prefixTable) evict(s *prefixServer) {
	for u := s.order.oldest; u != nil && s.left(u) <= 0; u = s.order.oldest {
		t.remove(u)
	}
}

// use records the use of one prefix. continued reports that the attempt's prompt is longer.
func (t *prefixTable) use(now time.Duration, s *prefixServer, key uint64, continued bool) {
	u, priority := t.uses[key], dueOther
	if u != nil || continued {
		priority = dueShared
	}
	if u == nil {
		u = &prefixUse{server: uint32(key >> 32), prefix: uint32(key), refreshAt: now}
		t.uses[key] = u
	} else {
		t.order.remove(u)
		s.order.remove(u)
	}
	t.lastUse++
	u.number, u.prefilled = t.lastUse, s.prefilled
	t.order.push(u)
	s.order.push(u)
	if now < u.refreshAt { // (2)
		return
	}
	due := t.due[priority]
	if len(due) >= maxDueUses {
		due = append(due[:0], due[maxDueUses/2:]...)
	}
	t.due[priority] = append(due, dueUse{u, u.number})
}

// nextDue returns the use to be published next, or nil (2).
func (t *prefixTable) nextDue() *prefixUse {
	for i := range t.due {
		for len(t.due[i]) > 0 {
			d := t.due[i][len(t.due[i])-1]
			t.due[i] = t.due[i][:len(t.due[i])-1]
			if !d.use.removed && d.number == d.use.number {
				return d.use
			}
		}
	}
	return nil
}

// waiting reports whether uses wait to be published.
func (t *prefixTable) waiting() bool { return len(t.due[dueShared])+len(t.due[dueOther]) > 0 }

func (t *prefixTable) remove(u *prefixUse) {
	t.order.remove(u)
	t.servers[u.server].order.remove(u)
	delete(t.uses, prefixKey(u.server, u.prefix))
	u.removed = true
}

// cached reports whether a prefix counts as cached.
func (t *prefixTable) cached(server, prefix uint32) bool {
	u := t.uses[prefixKey(server, prefix)]
	return u != nil && t.servers[server].left(u) > 0
}

// publish publishes the uses that are due, as far as the allowance lasts (2).
func (t *prefixTable) publish(now time.Duration) {
	for range t.allowance.refill(now) {
		u := t.nextDue()
		if u == nil {
			return
		}
		s := t.servers[u.server]
		ttl := time.Duration(min(maxPrefixTTL.Seconds(), s.left(u)/max(1, s.rateAt(now))) * float64(time.Second)) // (3)
		ttl = max(ttl, minPrefixTTL)
		u.refreshAt = now + ttl/2
		t.published.add(now, publishedPrefix{u.server, u.prefix, ttl})
		t.allowance.spend(1)
	}
}

// forget drops the servers that are not in the catalog.
func (t *prefixTable) forget(c *catalog) {
	for server, s := range t.servers {
		if c.has(server) {
			continue
		}
		for s.order.oldest != nil {
			t.remove(s.order.oldest)
		}
		delete(t.servers, server)
	}
}

// allowance bounds the prefixes that are published, or sent to one box.
type allowance struct {
	left float64
	at   time.Duration
}

// refill returns how many prefixes may be sent now.
func (a *allowance) refill(now time.Duration) int {
	a.left = min(prefixBurst, a.left+prefixesPerSecond*max(0, now-a.at).Seconds())
	a.at = max(a.at, now)
	return int(a.left)
}

func (a *allowance) spend(n int) { a.left -= float64(n) }

// encodePrefixes returns the messages of published prefixes, which are at most prefixBurst. Those of one use have the same
// lifetime and are in one message.
func encodePrefixes(list []publishedPrefix) (out []*wire.CachedPrefixes) {
	for _, p := range list {
		ttl := uint32(p.ttl.Milliseconds())
		if n := len(out); n > 0 && out[n-1].Server == p.server && out[n-1].TtlMs == ttl {
			out[n-1].Prefixes = append(out[n-1].Prefixes, p.prefix)
			continue
		}
		out = append(out, &wire.CachedPrefixes{Server: p.server, TtlMs: ttl, Prefixes: []uint32{p.prefix}})
	}
	return out
}
