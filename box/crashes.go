package box

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"leverdrum/crasher"
	"leverdrum/event"
	"leverdrum/internal/wait"
	"leverdrum/meter"
	"leverdrum/reason"
	"leverdrum/wire"
)

const (
	// maxQueuedCrashReports bounds the queue of unsent reports. One report is made for each
	// server that terminated.
	maxQueuedCrashReports = 256
	// crashBatchDelay is how long a report waits for others: the servers of a rack fail together.
	crashBatchDelay = 5 * time.Millisecond
	// crashSendTimeout bounds one attempt to send, crashRetryDuration all attempts: by then most
	// suspected requests have occurred and been reported again.
	crashSendTimeout   = 2 * time.Second
	crashRetryDuration = 30 * time.Second
	// crashRetryPause is the delay between attempts: a leader whose disk is full refuses immediately.
	crashRetryPause = 200 * time.Millisecond
)

// crashReporter sends the leader reports of requests during which servers terminated, and retries
// until they are committed: unlike other notices, these do not recur until another server
// has terminated.
type crashReporter struct {
	process string // process ID of this box, whose clock the reports' times refer to
	log     *zap.Logger
	meters  *meter.Meters
	reports chan crashReport
	// committed is called whenever reports were committed.
	committed func()
}

type crashReport struct {
	createdAt time.Time
	*wire.CrashReport
}

func newCrashReporter(process string, log *zap.Logger, meters *meter.Meters) *crashReporter {
	return &crashReporter{process: process, log: log, meters: meters, reports: make(chan crashReport, maxQueuedCrashReports), committed: func() {}}
}

// add queues a report without blocking. If the queue is full, the report is dropped and the drop is
// logged.
func (c *crashReporter) add(r *wire.CrashReport) {
	c.recordReport(r)
	select {
	case c.reports <- crashReport{time.Now(), r}:
	default:
		event.CrashDetected.Log(c.log, zap.Bool("dropped", true), zap.Int("signs", len(r.Signs)))
	}
}

// recordReport counts and logs the crash evidence of a report.
func (c *crashReporter) recordReport(r *wire.CrashReport) {
	if len(r.Signs) == 0 {
		return
	}
	var strong, weak []string
	for _, s := range r.Signs {
		p, _ := crasher.ParseFingerprint(s.Print) // made by this box
		if s.Weak {
			weak = append(weak, p.String())
			continue
		}
		strong = append(strong, p.String())
	}
	c.meters.Count(meter.CrashReports, "strong").Add(float64(len(strong)))
	c.meters.Count(meter.CrashReports, "weak").Add(float64(len(weak)))
	event.CrashDetected.Log(c.log, zap.String("server", r.Signs[0].Server), zap.String("version", r.Signs[0].Version), zap.Strings("prints", strong), zap.Strings("weak", weak),
		zap.Strings("parts", strongParts(r.Signs)))
}

// recordExposures counts and logs what this box concludes about the prompt parts of its requests at a terminated server while requests
// with them run at others.
func (c *crashReporter) recordExposures(s crasher.Server, list []crasher.Exposure) {
	var parts, refuted, kept []string
	for _, e := range list {
		parts = append(parts, strconv.FormatUint(e.Part, 16))
		text := fmt.Sprintf("%x ran %v, elsewhere %v", e.Part, e.RanFor.Round(time.Millisecond), e.RunsElsewhereFor.Round(time.Millisecond))
		if e.Refuted {
			refuted = append(refuted, text)
			continue
		}
		kept = append(kept, text)
	}
	c.meters.Count(meter.CrashExposures, "refuted").Add(float64(len(refuted)))
	c.meters.Count(meter.CrashExposures, "kept").Add(float64(len(kept)))
	event.CrashExposed.Log(c.log, zap.String("server", s.ID), zap.String("version", s.Version), zap.Strings("parts", parts), zap.Strings("refuted", refuted), zap.Strings("kept", kept))
}

// strongParts returns the prompt parts of requests with strong evidence, each once and in hexadecimal.
func strongParts(signs []*wire.CrashSign) (parts []string) {
	seen := map[uint64]bool{}
	for _, s := range signs {
		for _, id := range s.Parts {
			if !s.Weak && !seen[id] {
				seen[id] = true
				parts = append(parts, strconv.FormatUint(id, 16))
			}
		}
	}
	return parts
}

// forwardFunc passes a call on to the leader; the reason is nil if the call was executed.
type forwardFunc func(context.Context, *wire.Forward) (*wire.ForwardAnswer, *reason.Reason)

// run sends queued reports in batches until the context ends.
func (c *crashReporter) run(ctx context.Context, f forwardFunc) {
	for {
		select {
		case r := <-c.reports:
			wait.For(ctx, crashBatchDelay)
			list := []crashReport{r}
			for len(c.reports) > 0 {
				list = append(list, <-c.reports)
			}
			c.send(ctx, f, list)
		case <-ctx.Done():
			return
		}
	}
}

func (c *crashReporter) send(ctx context.Context, f forwardFunc, list []crashReport) {
	for began := time.Now(); ctx.Err() == nil && time.Since(began) < crashRetryDuration; {
		once, cancel := context.WithTimeout(ctx, crashSendTimeout)
		_, why := f(once, &wire.Forward{
			Kind: wire.ForwardKind_FORWARD_CRASHES, DeadlineMs: uint32(crashSendTimeout.Milliseconds()), Crashes: mergeCrashReports(c.process, list, time.Now()),
		})
		cancel()
		if why == nil {
			c.committed()
			return
		}
		wait.For(ctx, crashRetryPause)
	}
	event.CrashDetected.Log(c.log, zap.Bool("dropped", true), zap.Int("reports", len(list)))
}

// mergeCrashReports merges reports into one and adjusts relative times to now. Times on the clock of
// this box are unchanged.
func mergeCrashReports(box string, list []crashReport, now time.Time) *wire.CrashReport {
	all := &wire.CrashReport{Box: box}
	for _, r := range list {
		since := uint32(now.Sub(r.createdAt).Milliseconds())
		for _, sign := range r.Signs {
			s := proto.CloneOf(sign)
			s.SentAgoMs += since
			s.EndedAgoMs += since
			all.Signs = append(all.Signs, s)
		}
		all.Served = append(all.Served, r.Served...)
	}
	return all
}
