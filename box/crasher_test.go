package box_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/admin"
	"leverdrum/box"
	"leverdrum/peer"
	"leverdrum/platform/standin"
	"leverdrum/settings"
)

// several is a cluster of one box with a disk and others without, before servers that end under
// requests whose body is deadly and start again, under another id, at their address.
type several struct {
	*one
	entries []string

	mu      sync.Mutex
	started int
	ended   int
	deadly  map[string]bool
	servers []*standin.Server
	closed  bool
	// reborn has servers start again under the id that they had, with a later birth.
	reborn bool
	// deadlyModel is one under whose load servers end.
	deadlyModel string
	model       string // that is asked for, m1 where it is ""
	// limits are what servers name as theirs, by id.
	limits map[string]string
	// rests are the Retry-After with which servers turn all requests away, leaves tells which say that they end, by id.
	rests  map[string]string
	leaves map[string]bool
}

// restartAfter is how long a server that ended is away.
const restartAfter = 300 * time.Millisecond

func startSeveral(t *testing.T, others int) *several {
	s := &several{one: startOne(t), deadly: map[string]bool{}, limits: map[string]string{}, rests: map[string]string{}, leaves: map[string]bool{}}
	s.entries = []string{s.entry}
	for i := range others {
		s.entries = append(s.entries, s.startEntry(i))
	}
	t.Cleanup(s.close)
	return s
}

// startEntry starts a box without a disk, and returns where callers reach it.
func (s *several) startEntry(i int) string {
	ip := fmt.Sprintf("127.%d%s", 128+i, ownIP[strings.Index(ownIP[4:], ".")+4:])
	entry := addressAt(s.t, ip)
	_, port, err := net.SplitHostPort(s.settings.PeerListen) // the same at all boxes
	if err != nil {
		s.t.Fatal(err)
	}
	text := settingsOf(s.t, ip, net.JoinHostPort(ip, port), s.settings.PeerListen, entry, addressAt(s.t, ip), addressAt(s.t, ip), "entry")
	parsed, err := settings.Parse("box.ini", []byte(text))
	if err != nil {
		s.t.Fatal(err)
	}
	b, err := box.Start(parsed, peer.Plaintext{}, s.log)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(b.Kill)
	return entry
}

// server starts a server that holds models, at an address or, where that is "", at any. id is that of its life before.
func (s *several) server(id, at string, models ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.started++
	v := &standin.Server{
		ID:      fmt.Sprint("i-", s.started),
		Service: "s", Hall: "h", Room: 220, AdapterSlots: 3, LoadTime: 100 * time.Millisecond, Beat: 100 * time.Millisecond,
		Control: []string{s.control}, Events: 3, Pause: 30 * time.Millisecond, Weights: map[string]int{"m1": 70, "m2": 70}, Address: at, Deadly: s.deadlyModel,
	}
	v.Crashes = func(body []byte) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.deadly[string(body)]
	}
	v.Limit = func() string {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.limits[v.ID]
	}
	v.TurnAway = func(string) string {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.rests[v.ID]
	}
	v.Leaves = func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.leaves[v.ID]
	}
	v.Crashed = func() {
		s.mu.Lock()
		s.ended++
		s.mu.Unlock()
		holds := models
		if s.reborn {
			holds = nil // it has lost what it held
		}
		time.AfterFunc(restartAfter, func() { s.server(v.ID, v.At(), holds...) })
	}
	if s.reborn {
		v.Born = uint64(time.Now().UnixMilli())
		v.Said = 1000 // minutes of its first life
		if id != "" {
			v.ID, v.Said = id, 0
		}
	}
	if err := v.Start(models...); err != nil {
		s.t.Error(err)
		return
	}
	s.servers = append(s.servers, v)
}

func (s *several) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, v := range s.servers {
		v.Stop()
	}
}

func (s *several) endedSoFar() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// status is what operators are told.
func (s *several) status() (status admin.Status) {
	resp, err := http.Get("http://" + s.box.OperatorAddress() + admin.StatusPath)
	if err != nil {
		s.t.Error(err)
		return status
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		s.t.Error(err)
	}
	return status
}

// held returns the prints that the operators' status lists as kept from servers.
func (s *several) held() (prints []string) {
	for _, h := range s.status().Blocked {
		prints = append(prints, h.Fingerprint)
	}
	return prints
}

// answer is what a caller got.
type answer struct {
	status int
	reason string
	after  string // Retry-After
	took   time.Duration
	whole  bool
}

// send sends a request to the nth box, counted round.
func (s *several) send(n int, id, path, body string) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.entries[n%len(s.entries)]+path, strings.NewReader(body))
	if err != nil {
		s.t.Error(err)
		return answer{}
	}
	req.Host = "h.example"
	req.Header.Set("Leverdrum-Request-Id", id)
	req.Header.Set("Leverdrum-Deadline-Ms", fmt.Sprint(15000+n)) // what is left differs each time
	req.Header.Set("Leverdrum-Model", cmp.Or(s.model, "m1"))
	req.Header.Set(standin.HeaderVia, s.entries[n%len(s.entries)])
	began := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{took: time.Since(began)}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get("X-Leverdrum-Reason"), resp.Header.Get("Retry-After"), time.Since(began), err == nil && strings.Contains(string(text), "id: 3\n")}
}

// up applies a configuration and waits until each box serves.
func (s *several) up(servers int) {
	g := NewWithT(s.t)
	g.Eventually(func() int { return s.apply(config(1, "m1", "m2")) }, within).Should(Equal(http.StatusOK))
	for range servers {
		s.server("", "", "m1")
	}
	for n := range s.entries {
		g.Eventually(func() bool { return s.send(n, "first", "/a/first", "first").whole }, within).Should(BeTrue())
	}
}

// A request under which each server that begins to run it ended came again and again, with the same path
// and body and another id each time, at all boxes: 27 and 39 servers ended in two cases. Nothing that
// a box had seen of a request outlived the attempt: which servers had broken off stood in the attempt alone,
// and no box told another. The print that lines on broken sendings carry, made of path, model and body, was the
// same for attempts under different ids at different boxes, which proved it.
//
// Three servers must do to know such a request, and those that it reaches before all boxes know: as
// many again at most.
func TestARequestThatCrashesServersIsStopped(t *testing.T) {
	s := startSeveral(t, 2)
	g := NewWithT(t)
	s.up(8)
	s.mu.Lock()
	s.deadly["boom"] = true
	s.mu.Unlock()

	innocents := make(chan struct{})
	var served, asked int
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-innocents:
				return
			case <-time.After(20 * time.Millisecond):
			}
			asked++
			if s.send(n, fmt.Sprint("innocent-", n), fmt.Sprint("/a/innocent-", n), "body").whole {
				served++
			}
		}
	})
	const most = 6 // three that show it, and as many again
	var last []answer
	for n := range 30 {
		last = append(last, s.send(n, fmt.Sprint("attempt-", n), "/a/x?q=1", "boom"))
		time.Sleep(100 * time.Millisecond)
	}
	close(innocents)
	wg.Wait()
	t.Logf("%d servers ended, %d of %d other requests were served", s.endedSoFar(), served, asked)
	g.Expect(s.endedSoFar()).To(BeNumerically("<=", most))
	g.Expect(s.endedSoFar()).To(BeNumerically(">=", 1), "else the test proves nothing")
	for i, a := range last[len(last)-3:] { // one at each box
		g.Expect(a.status).To(Equal(http.StatusUnprocessableEntity), "box %d", i)
		g.Expect(a.reason).To(Equal("crashes-servers"))
		g.Expect(a.after).To(BeEmpty(), "to come back is of no use")
		g.Expect(a.took).To(BeNumerically("<", time.Second), "refused at once")
	}
	g.Expect(served).To(BeNumerically(">=", asked*8/10))
	g.Expect(s.held()).To(HaveLen(1), "operators are told")
	s.restart() // what is held comes back with the agreed state
	g.Eventually(func() bool { return s.send(0, "first", "/a/first", "first").whole }, within).Should(BeTrue())
	before := s.endedSoFar()
	for n := range s.entries {
		g.Expect(s.send(n, "after-restart", "/a/x?q=1", "boom").reason).To(Equal("crashes-servers"))
	}
	g.Expect(s.endedSoFar()).To(Equal(before))

	for n := range s.entries { // whatever differs in path or body is another request
		g.Expect(s.send(n, "other-path", "/a/y", "first").whole).To(BeTrue())
		g.Expect(s.send(n, "other-body", "/a/x?q=1", "harmless").whole).To(BeTrue())
	}
}

// Servers that start again under the id that they had, empty and with their counts at 0: what was known of the life
// before is not taken for true of the next one, which is served and ordered like any other.
func TestServersBornAgainUnderTheirID(t *testing.T) {
	s := startSeveral(t, 1)
	s.reborn = true
	g := NewWithT(t)
	s.up(4)
	s.mu.Lock()
	for n := range 4 {
		s.deadly[fmt.Sprint("boom-", n)] = true
	}
	s.mu.Unlock()
	for n := range 4 { // each ends two servers
		s.send(n, fmt.Sprint("attempt-", n), "/a/x?q=1", fmt.Sprint("boom-", n))
	}
	g.Expect(s.endedSoFar()).To(BeNumerically(">=", 4), "all have ended")
	// No word of the life before is waited for: its silence takes 3.3 s, and its count of words, 1000, some 100 s.
	var last answer
	g.Eventually(func() bool { last = s.send(0, "later", "/a/later", "body"); return last.whole }, 8*time.Second).
		Should(BeTrue(), func() string { return fmt.Sprintf("%+v, %+v", last, s.status()) })
	for n := range 40 {
		s.send(n, fmt.Sprint("many-", n), fmt.Sprint("/a/many-", n), "body")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.servers {
		g.Expect(v.Faults()).To(BeEmpty(), v.ID)
	}
	lives := map[string]bool{}
	for _, v := range s.servers {
		lives[v.ID] = true
	}
	g.Expect(len(lives)).To(BeNumerically("<", len(s.servers)), "some server was born again")
}

// Servers that ended while they carried out an order got none for 13 s after their start, as if that order could still arrive,
// although they had answered it: where all of them had, nothing was served.
func TestServersThatEndInALoadServeSoonAfterTheirStart(t *testing.T) {
	s := startSeveral(t, 0)
	s.reborn, s.deadlyModel = true, "m2"
	g := NewWithT(t)
	s.up(3)
	s.model = "m2"
	g.Eventually(func() int { s.send(0, "deadly", "/a/x", "body"); return s.endedSoFar() }, within).Should(BeNumerically(">=", 3))
	s.model = ""
	g.Eventually(func() bool { return s.send(0, "later", "/a/later", "body").whole }, 8*time.Second).Should(BeTrue())
}

// A model under whose load each server ends was loaded on one server after another, for as long as requests asked for it:
// an order that ended its server was given again, to the next one.
func TestAModelThatCrashesServersIsStopped(t *testing.T) {
	s := startSeveral(t, 0)
	s.deadlyModel = "m2"
	g := NewWithT(t)
	s.up(6)
	s.model = "m2"
	for began := time.Now(); time.Since(began) < 12*time.Second; {
		g.Expect(s.send(0, "deadly", "/a/x", "body").whole).To(BeFalse())
		time.Sleep(100 * time.Millisecond)
	}
	s.model = ""
	t.Logf("%d servers ended", s.endedSoFar())
	g.Expect(s.endedSoFar()).To(BeNumerically(">=", 2), "else the test proves nothing")
	g.Expect(s.endedSoFar()).To(BeNumerically("<=", 6), "three that show it, and as many again")
	g.Eventually(func() bool { return s.send(0, "later", "/a/later", "body").whole }, within).Should(BeTrue())
}
