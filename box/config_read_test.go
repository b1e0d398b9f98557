package box_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// slowLink and fastLink are the bandwidths of the boxes without and with a disk, in Mbit/s.
	slowLink, fastLink = 7.5, 100.0
	// operatorPatience is how long an operator waits for a whole response before it asks another box.
	operatorPatience = time.Second
	maxRedirects     = 2
)

// throttledConn is a connection that receives at most bytesPerSecond.
type throttledConn struct {
	net.Conn
	bytesPerSecond float64
}

func (c throttledConn) Read(b []byte) (int, error) {
	const chunk = 16 << 10
	n, err := c.Conn.Read(b[:min(len(b), chunk)])
	time.Sleep(time.Duration(float64(n) / c.bytesPerSecond * float64(time.Second)))
	return n, err
}

// operator reads the configuration as operators do, over the links of the boxes.
type operator struct{ client http.Client }

// newOperator returns an operator. links are bandwidths in Mbit/s, by address.
func newOperator(t *testing.T, links map[string]float64) *operator {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		const bitsPerByte, mega = 8, 1e6
		return throttledConn{conn, links[address] * mega / bitsPerByte}, nil
	}}
	t.Cleanup(transport.CloseIdleConnections)
	return &operator{http.Client{Transport: transport, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > maxRedirects {
			return http.ErrUseLastResponse
		}
		return nil
	}}}
}

// read reads the configuration at a box within the operator's patience.
func (o *operator) read(control string) (status int, text string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorPatience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+"/Config.Get", nil)
	if err != nil {
		return 0, "", err
	}
	resp, err := o.client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// largeConfig returns a configuration with many routes, some 280 bytes each.
func largeConfig(t *testing.T, version, routes int) string {
	var c map[string]any
	if err := json.Unmarshal([]byte(config(version, "m1")), &c); err != nil {
		t.Fatal(err)
	}
	list := c["routes"].([]any)
	for i := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprint("r-", i), "hostname": "h.example", "path_prefix": fmt.Sprintf("/more/%d/", i), "route_type": "streaming", "timeout_ms": 15000, "backend": "s",
			"target_latency_ms": 5000, "max_attempts": 2, "resumable": true, "priority": 1, "session_affinity": true, "gap_target_ms": 400, "traffic_split": []any{map[string]any{"backend": "s", "weight": 100}},
		})
	}
	c["routes"] = list
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against an acknowledged configuration that could not be read back at any box: its text of some 800 KB took each box with
// a link of 7.5 Mbit/s longer to send than operators wait, and all boxes that were asked had such links.
func TestLargeConfigurationReadOverSlowLinks(t *testing.T) {
	s := startMultiBox(t, 2)
	g := NewWithT(t)
	links := map[string]float64{s.control: fastLink}
	for _, control := range s.controls[1:] {
		links[control] = slowLink
	}
	o := newOperator(t, links)
	g.Eventually(func() int { return s.apply(config(1, "m1")) }, testTimeout).Should(Equal(http.StatusOK))
	for _, control := range s.controls { // a box that has not joined yet cannot answer
		g.Eventually(func() int { status, _, _ := o.read(control); return status }, testTimeout).Should(Equal(http.StatusOK))
	}
	text := largeConfig(t, 7, 4000)
	g.Expect(s.apply(text)).To(Equal(http.StatusOK))
	for _, control := range s.controls {
		status, read, err := o.read(control)
		g.Expect(err).NotTo(HaveOccurred(), "%d of %d bytes were read from %s within %v", len(read), len(text), control, operatorPatience)
		g.Expect(status).To(Equal(http.StatusOK))
		g.Expect(read == text).To(BeTrue(), "the text is unchanged")
	}
}

// Guards against a read that is held for longer than operators wait, at a box that cannot confirm the newest configuration: they
// asked the next box without ever learning that this one could not answer.
func TestUnconfirmedConfigurationRejectedInTime(t *testing.T) {
	s := startMultiBox(t, 1)
	g := NewWithT(t)
	g.Eventually(func() int { return s.apply(config(1, "m1")) }, testTimeout).Should(Equal(http.StatusOK))
	o := newOperator(t, map[string]float64{s.controls[1]: slowLink})
	read := func() int {
		status, _, err := o.read(s.controls[1])
		g.Expect(err).NotTo(HaveOccurred())
		return status
	}
	g.Eventually(read, testTimeout).Should(Equal(http.StatusOK))
	s.box.Kill()
	for range 3 {
		g.Expect(read()).To(Equal(http.StatusServiceUnavailable))
	}
	s.start()
	g.Eventually(read, testTimeout).Should(Equal(http.StatusOK))
}

// Guards against an operator who is sent to a leader that does not answer, by each box with a slow link in turn, and never learns
// that it has to ask elsewhere or later.
func TestNoRedirectToAnUnreachableLeader(t *testing.T) {
	s := startMultiBox(t, 1)
	g := NewWithT(t)
	text := largeConfig(t, 7, 4000)
	g.Eventually(func() int { return s.apply(text) }, testTimeout).Should(Equal(http.StatusOK))
	o := newOperator(t, map[string]float64{s.control: fastLink, s.controls[1]: slowLink})
	g.Eventually(func() string { _, read, _ := o.read(s.controls[1]); return read }, testTimeout).Should(Equal(text))
	s.box.Kill()
	for range 3 {
		status, _, err := o.read(s.controls[1])
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	}
	s.start()
	g.Eventually(func() string { _, read, _ := o.read(s.controls[1]); return read }, testTimeout).Should(Equal(text))
}
