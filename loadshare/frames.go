package loadshare

import (
	"time"

	"google.golang.org/protobuf/proto"

	"leverdrum/wire"
)

// link is one stream of a hub.
type link struct {
	key    string // of the sender in the tables
	member string
	hub    bool
	opener string // member that opened the stream
	stream Stream
	signal chan struct{} // holds an item when a frame may be due
	ended  chan struct{} // closed when the link was replaced or dropped

	heardAt time.Duration
	sentAt  time.Duration
	started bool // a frame was sent
	// Numbers up to which the receiver was sent what the hub published.
	rows, speeds, samples, report    uint64
	models, prefills, prefixes, uses uint64
	outcomes                         outcomeQueue // for another hub

	budget    budget
	allowance allowance
	frame     frameBuffer
}

// needsFrame reports whether a stream has something to send, or must show that it is alive.
func (h *hub) needsFrame(l *link, now time.Duration) bool {
	return !l.started || now-l.sentAt >= aliveInterval || l.rows < h.tableOf(l).published.last || l.report < h.report.number ||
		!l.hub && h.needsEstimates(l) || l.hub && (l.samples < h.samples.end() || l.prefills < h.prefills.end() || l.uses < h.uses.end() || l.outcomes.failed > 0)
}

// needsEstimates reports whether a box has not been sent all published estimates.
func (h *hub) needsEstimates(l *link) bool {
	return l.speeds < h.speeds.published.last || l.models < h.prefill.published.last || l.prefixes < h.prefixes.published.end()
}

func (h *hub) tableOf(l *link) *totals {
	if l.hub {
		return h.sums.hall
	}
	return h.sums.all
}

// nextFrame returns the frame that is due on a stream, or nil if none is.
func (h *hub) nextFrame(l *link) *wire.LoadUpdate {
	now := h.sharer.options.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.links[l.key] != l || !l.hub && !l.budget.admits(now) || !h.needsFrame(l, now) {
		return nil
	}
	u := l.frame.reset()
	h.addReports(l, u, now)
	limit := maxRows
	if !l.hub {
		limit = rowLimit(u)
	}
	l.frame.keys, l.rows = h.tableOf(l).published.after(l.rows, l.frame.keys, limit)
	for _, server := range l.frame.keys {
		g := h.sums.hall.of[server].clamped()
		if !l.hub {
			g = h.sums.due(l.key, server)
		}
		l.frame.list = append(l.frame.list, serverGauge{server, g})
	}
	l.frame.fill()
	l.started, l.sentAt = true, now
	if h.needsFrame(l, now) {
		notify(h.wake)
	}
	return u
}

// addReports adds the estimates, samples and demand that are due to a frame. To a box, estimates that are due together with
// demand follow in the next frame, so that all fits into maxFrameBytes.
func (h *hub) addReports(l *link, u *wire.LoadUpdate, now time.Duration) {
	if l.hub {
		u.Samples, l.samples = h.samples.after(l.samples, maxSamplesInFrame)
		u.Prefills, l.prefills = h.prefills.after(l.prefills, maxSamplesInFrame)
		u.Cached, l.uses = h.uses.after(l.uses, maxHubUsesInFrame)
		u.Outcomes = h.dueOutcomes(l, now)
	}
	if l.report < h.report.number {
		l.report, u.Demand = h.report.number, h.report.all
		if l.hub {
			u.Demand = h.report.hall
		}
	}
	if l.hub || len(u.Demand) > 0 {
		return
	}
	u.Speeds, l.speeds = h.speeds.after(l.speeds)
	u.Models, l.models = h.prefill.after(l.models)
	published, number := h.prefixes.published.after(l.prefixes, l.allowance.refill(now))
	l.allowance.spend(len(published))
	u.Cached, l.prefixes = encodePrefixes(published), number
}

// rowLimit returns the number of rows that fit into a frame of at most maxFrameBytes beside its other content.
func rowLimit(u *wire.LoadUpdate) int {
	return min(max((maxFrameBytes-frameOverhead-proto.Size(u))/maxRowBytes, 1), maxRows)
}
