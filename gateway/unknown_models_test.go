package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"leverdrum/dialect"
	"leverdrum/fleet"
	"leverdrum/meter"
	"leverdrum/state"
	"leverdrum/wire"
)

// Guards against unbounded memory: a request for a plain service may name any model, and what a
// box remembers must not grow with the names.
func TestUnknownModelsAreNotLearned(t *testing.T) {
	g := NewWithT(t)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Server-Stamp", "st")
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		_, _ = io.WriteString(w, "fine")
	}))
	defer backend.Close()
	view := state.New()
	view.Fleet = fleet.New()
	view.Fleet.Models["m"] = &fleet.Model{Name: "m"}
	view.Fleet.Pools["s"] = &fleet.Pool{Name: "s", MaxConnections: 9}
	view.Fleet.Routes = []*fleet.Route{{Name: "r", Host: "h", Prefix: "/", Kind: fleet.Safe, Timeout: 5 * time.Second, MaxAttempts: 1, Split: []fleet.Share{{Pool: "s", Weight: 1}}}}
	view.Version = &wire.FleetVersion{Number: 1, Index: 1}
	address := backend.Listener.Addr().(*net.TCPAddr).String()
	view.Announcements.Set("i", &wire.Announcement{Id: "i", Service: "s", Address: address, Slots: 4})
	gate := New(Options{
		Dialect: dialect.Native, View: func() *state.State { return view }, Current: func() bool { return true },
		Budget: Budget{Ratio: 1, Slack: 9, Window: time.Second}, Meters: meter.New(), Log: zap.NewNop(),
	})
	gate.Refresh()
	send := func(model string) {
		r := httptest.NewRequest(http.MethodGet, "/x", strings.NewReader(""))
		r.Host = "h"
		r.Header.Set("X-Request-Id", "r")
		r.Header.Set("X-Model", model)
		r.Header.Set("X-Prompt-Tokens", "5000")
		w := httptest.NewRecorder()
		gate.ServeHTTP(w, r)
		g.Expect(w.Code).To(Equal(http.StatusOK))
	}
	for i := range 5 {
		send(fmt.Sprint("invented", i))
	}
	g.Expect(gate.slotTimes.byModel).To(BeEmpty())
	g.Expect(gate.prefillRates.byModel).To(BeEmpty())
	send("m")
	g.Expect(gate.slotTimes.byModel).To(HaveKey("m"))
	g.Expect(gate.prefillRates.byModel).To(HaveKey("m"))
}
