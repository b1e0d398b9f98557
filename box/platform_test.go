package box_test

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"leverdrum/box"
	"leverdrum/peer"
	"leverdrum/platform/standin"
	"leverdrum/settings"
)

// testTimeout bounds waiting for an expected event, far above the usual duration.
const testTimeout = 20 * time.Second

// singleBox is a cluster of one box with simulated servers of the platform.
type singleBox struct {
	t                     *testing.T
	entry, control, ready string
	servers               []*standin.Server
	settings              *settings.Settings
	box                   *box.Box
	log                   *zap.Logger
	// callBackoff is the TurnCallsAway function of servers that are started after it is set.
	callBackoff func() string
}

// ownIP is a loopback address specific to this process: no other process, and no outgoing
// connection, takes a port there between its choice and its use.
var ownIP = fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>16&63, os.Getpid()>>8&255, os.Getpid()&255)

func address(t *testing.T) string { return addressAt(t, ownIP) }

// usedPorts are the ports already assigned in this process. The system may assign a port again as soon as it is free, and boxes
// of one cluster use the same port at different addresses.
var usedPorts sync.Map

func addressAt(t *testing.T, ip string) string {
	for {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		address := l.Addr().(*net.TCPAddr)
		l.Close()
		if _, again := usedPorts.LoadOrStore(address.Port, true); !again {
			return address.String()
		}
	}
}

// firstEphemeralPort is the lowest port that the system may give to outgoing connections.
const firstEphemeralPort = 32768

// peerAddress returns an address for a box's peers. Boxes at other addresses listen on the same port, and open connections
// from these addresses, so that the port must not be one that the system gives to an outgoing connection.
func peerAddress(t *testing.T) string {
	const first = 10000
	for port := first + os.Getpid()%10000; port < firstEphemeralPort; port++ {
		if _, again := usedPorts.LoadOrStore(port, true); again {
			continue
		}
		if l, err := net.Listen("tcp", fmt.Sprint(ownIP, ":", port)); err == nil {
			l.Close()
			return fmt.Sprint(ownIP, ":", port)
		}
	}
	t.Fatal("no port for peers is left")
	return ""
}

// settingsOf returns the settings that all boxes have. The form setting is true only for the seed itself, the box with a
// disk.
func settingsOf(t *testing.T, name, peerAt, seed, entry, ready, control, roles string) string {
	return fmt.Sprintf(`[box]
name = %s
hall = h
roles = %s
[cluster]
name = c
seeds = %s
form = %v
[peer]
listen = %s
[entry]
listen = %s
dialect = platform
ready-listen = %s
balancer-lag = 100ms
[operator]
listen = %s
platform-listen = %s
`, name, roles, seed, peerAt == seed, peerAt, entry, ready, addressAt(t, name), control)
}

// startSingleBox starts the box in this process.
func startSingleBox(t *testing.T) *singleBox {
	o := &singleBox{t: t, entry: address(t), control: address(t), ready: address(t), log: newTestLog(t)}
	p := peerAddress(t)
	text := settingsOf(t, ownIP, p, p, o.entry, o.ready, o.control, "control,entry") + fmt.Sprintf(`[data]
folder = %s
[orders]
pause = 300ms
demand-settles = 300ms
[timing]
config-lease = 1h
`, filepath.Join(t.TempDir(), "data"))
	s, err := settings.Parse("box.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	o.settings = s
	o.start()
	t.Cleanup(func() { o.box.Kill() })
	return o
}

func (o *singleBox) start() {
	b, err := box.Start(o.settings, peer.Plaintext{}, o.log)
	if err != nil {
		o.t.Fatal(err)
	}
	o.box = b
}

// newTestLog returns a logger that writes to a file, which is kept if the test fails.
func newTestLog(t *testing.T) *zap.Logger {
	file, err := os.CreateTemp("", "leverdrum-box-*.log")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		file.Close()
		if t.Failed() {
			t.Log("log of the boxes: ", file.Name())
			return
		}
		os.Remove(file.Name())
	})
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.Lock(file), zapcore.InfoLevel))
}

// restart kills the box and starts it again: it leads in another term and inherits
// the open orders.
func (o *singleBox) restart() {
	o.box.Kill()
	o.start()
}

// config returns a configuration of one service with models of equal size.
func config(version int, models ...string) string {
	var list []string
	for _, m := range models {
		list = append(list, fmt.Sprintf(`{"name":%q,"weights_mb":70,"load_s":0.1,"warm_s":0.1,"disk_s":0.1,"adapters":8,"adapter_mb":1}`, m))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","hostname":"h.example","path_prefix":"/a/","route_type":"streaming","timeout_ms":15000,"target_latency_ms":5000,
		"backend":"s","max_attempts":2,"resumable":true}],
		"backends":[{"name":"s","max_connections":100,"engine":{"slots":64,"weights_mb":220,"adapter_slots":3,"loads_per_s":50,"models":[%s]}}]}`, version, strings.Join(list, ","))
}

func (o *singleBox) server(id string, models ...string) *standin.Server {
	s := &standin.Server{
		ID: id, Service: "s", Hall: "h", Memory: 220, AdapterSlots: 3, LoadTime: 100 * time.Millisecond, HeartbeatInterval: 100 * time.Millisecond,
		ControlAddresses: []string{o.control}, EventCount: 3, ModelSizes: map[string]int{}, ControlRetryAfter: o.callBackoff,
	}
	for i := range 9 {
		s.ModelSizes[fmt.Sprint("m", i)] = 70
	}
	if err := s.Start(models...); err != nil {
		o.t.Fatal(err)
	}
	o.t.Cleanup(s.Stop)
	o.servers = append(o.servers, s)
	return s
}

func (o *singleBox) apply(text string) int {
	resp, err := http.Post("http://"+o.control+"/Config.Replace", "application/json", strings.NewReader(text))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// sendModelRequest sends one request for a model and returns the response's status and body.
func (o *singleBox) sendModelRequest(id, model string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+o.entry+"/a/x?q=1", bytes.NewReader([]byte("body")))
	if err != nil {
		o.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Leverdrum-Request-Id", id)
	req.Header.Set("Leverdrum-Deadline-Ms", "15000")
	req.Header.Set("Leverdrum-Model", model)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

const completeStream = "id: 1\ndata: %[1]s\n\nid: 2\ndata: %[1]s\n\nid: 3\ndata: %[1]s\n\n"

func TestEndToEndRequests(t *testing.T) {
	o := startSingleBox(t)
	g := NewWithT(t)
	g.Eventually(func() int { return o.apply(config(1, "m1", "m2")) }, testTimeout).Should(Equal(http.StatusOK))
	o.server("i-1", "m1")
	g.Eventually(func() int { s, _ := o.sendModelRequest("first", "m1"); return s }, testTimeout).Should(Equal(http.StatusOK))
	status, body := o.sendModelRequest("r1", "m1")
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(body).To(Equal(fmt.Sprintf(completeStream, "i-1")))

	status, body = o.sendModelRequest("r2", "m2") // loaded on demand
	g.Expect(status).To(Equal(http.StatusOK), body)
	status, body = o.sendModelRequest("r3", "m1/a5") // an adapter is loaded on demand, too
	g.Expect(status).To(Equal(http.StatusOK), body)
	status, body = o.sendModelRequest("r4", "unknown")
	g.Expect(status).To(Equal(http.StatusNotFound), body)

	g.Expect(o.apply(config(1, "m1"))).To(Equal(http.StatusOK), "other content with the current version is acknowledged and ignored")
	g.Expect(o.apply("{")).To(Equal(http.StatusBadRequest))
	resp, err := http.Get("http://" + o.control + "/Config.Get")
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	read, _ := io.ReadAll(resp.Body)
	g.Expect(string(read)).To(Equal(config(1, "m1", "m2")))
	g.Expect(o.servers[0].Violations()).To(BeEmpty())
	for id, n := range o.servers[0].Runs() {
		g.Expect(n).To(Equal(1), id)
	}
}

func TestModelOfDrainingServerLoadedElsewhere(t *testing.T) {
	o := startSingleBox(t)
	g := NewWithT(t)
	g.Eventually(func() int { return o.apply(config(1, "m1")) }, testTimeout).Should(Equal(http.StatusOK))
	first := o.server("i-1", "m1")
	g.Eventually(func() int { s, _ := o.sendModelRequest("first", "m1"); return s }, testTimeout).Should(Equal(http.StatusOK))
	second := o.server("i-2")
	first.Drain()
	g.Eventually(func() bool { return second.HasModel("m1") }, testTimeout).Should(BeTrue())
	g.Eventually(func() string { _, body := o.sendModelRequest("after", "m1"); return body }, testTimeout).Should(Equal(fmt.Sprintf(completeStream, "i-2")))
}

// Orders may get no response and be executed late, after newer ones. No server may ever
// be ordered to exceed its memory, and all requested models are served in the end.
func TestLateOrdersNeverExceedMemory(t *testing.T) {
	o := startSingleBox(t)
	g := NewWithT(t)
	models := []string{"m1", "m2", "m3", "m4", "m5", "m6", "m7"}
	g.Eventually(func() int { return o.apply(config(1, models...)) }, testTimeout).Should(Equal(http.StatusOK))
	random, lateness := rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(3, 4))
	var mu sync.Mutex // of lateness
	for i := range 3 {
		s := o.server(fmt.Sprint("i-", i), models[2*i], models[2*i+1])
		s.SetOrderDelay(func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if lateness.IntN(3) == 0 {
				return time.Duration(50+lateness.IntN(3000)) * time.Millisecond
			}
			return 0
		})
	}
	const rounds = 36
	var wg sync.WaitGroup
	for n := range rounds {
		if n%9 == 8 {
			o.restart()
		}
		for range 6 {
			model := models[random.IntN(len(models))]
			if random.IntN(2) == 0 {
				model += fmt.Sprint("/a", 1+random.IntN(8))
			}
			wg.Go(func() { o.sendModelRequest(fmt.Sprint("r", n, model), model) })
		}
		time.Sleep(200 * time.Millisecond)
	}
	wg.Wait()
	for _, s := range o.servers {
		g.Expect(s.Violations()).To(BeEmpty(), s.ID)
	}
	for _, m := range models {
		g.Eventually(func() int { status, _ := o.sendModelRequest("end-"+m, m); return status }, testTimeout).Should(Equal(http.StatusOK), m)
	}
}

// An order of an earlier leader may be executed long after that leader's termination,
// with no other order to the server in between. The leader that issues the next order
// must check the server's state first.
func TestOrderFromPreviousLeaderDetected(t *testing.T) {
	o := startSingleBox(t)
	g := NewWithT(t)
	g.Eventually(func() int { return o.apply(config(1, "m1")) }, testTimeout).Should(Equal(http.StatusOK))
	s := o.server("i-1", "m1")
	g.Eventually(func() int { status, _ := o.sendModelRequest("first", "m1"); return status }, testTimeout).Should(Equal(http.StatusOK))

	const late = 4 * time.Second // long after the next leader closed the order
	sent := make(chan struct{})
	var once sync.Once
	s.SetOrderDelay(func() time.Duration {
		once.Do(func() { close(sent) })
		return late
	})
	asked := make(chan struct{})
	var answer string
	go func() {
		_, answer = o.sendModelRequest("early", "m1/a1")
		close(asked)
	}()
	select {
	case <-sent:
	case <-asked:
		t.Fatalf("the request was answered before the adapter was ordered: %s", answer)
	case <-time.After(testTimeout):
		t.Fatal("the adapter was not ordered")
	}
	o.box.Kill()
	s.SetOrderDelay(nil)
	g.Eventually(asked, testTimeout).Should(BeClosed())
	o.start()
	g.Eventually(func() int { status, _ := o.sendModelRequest("again", "m1"); return status }, testTimeout).Should(Equal(http.StatusOK))
	g.Eventually(func() bool { return s.HasAdapter("m1", "a1") }, testTimeout).Should(BeTrue(), "executed after its leader terminated")
	for _, a := range []string{"a2", "a3", "a4"} {
		g.Eventually(func() int { status, _ := o.sendModelRequest("for-"+a, "m1/"+a); return status }, testTimeout).Should(Equal(http.StatusOK), a)
	}
	g.Expect(s.Violations()).To(BeEmpty())
}
