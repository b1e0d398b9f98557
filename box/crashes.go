package box

import (
	"context"
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
	// crashesLength bounds the reports that wait to be told. One is made for each server that ended.
	crashesLength = 256
	// crashesGather is how long a report waits for others, since the servers of a rack end together.
	crashesGather = 5 * time.Millisecond
	// crashesTimeout bounds one telling, crashesFor all of them: by then most of what was suspected
	// has come again and been told anew.
	crashesTimeout = 2 * time.Second
	crashesFor     = 30 * time.Second
	// crashesPause is the wait before a report is told again: a leader whose disk is full refuses at once.
	crashesPause = 200 * time.Millisecond
)

// crashes tells the leader of requests under which servers ended, until it is agreed: unlike
// other notices, these do not come again by themselves before another server has ended.
type crashes struct {
	process string // of this box, whose clock the reports' times are on
	log     *zap.Logger
	meters  *meter.Meters
	reports chan crashReport
}

type crashReport struct {
	made time.Time
	*wire.CrashReport
}

func newCrashes(process string, log *zap.Logger, meters *meter.Meters) *crashes {
	return &crashes{process: process, log: log, meters: meters, reports: make(chan crashReport, crashesLength)}
}

// add takes a report in. It does not block: one that finds no room is dropped, with a line that says so.
func (c *crashes) add(r *wire.CrashReport) {
	c.note(r)
	select {
	case c.reports <- crashReport{time.Now(), r}:
	default:
		event.CrashDetected.Log(c.log, zap.Bool("dropped", true), zap.Int("signs", len(r.Signs)))
	}
}

// note counts signs and writes their line.
func (c *crashes) note(r *wire.CrashReport) {
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
	event.CrashDetected.Log(c.log, zap.String("server", r.Signs[0].Server), zap.String("version", r.Signs[0].Version), zap.Strings("prints", strong), zap.Strings("weak", weak))
}

// forward passes a call on to the leader; the reason is nil once it was carried out.
type forward func(context.Context, *wire.Forward) (*wire.ForwardAnswer, *reason.Reason)

// run tells reports until the context ends.
func (c *crashes) run(ctx context.Context, f forward) {
	for {
		select {
		case r := <-c.reports:
			wait.For(ctx, crashesGather)
			list := []crashReport{r}
			for len(c.reports) > 0 {
				list = append(list, <-c.reports)
			}
			c.tell(ctx, f, list)
		case <-ctx.Done():
			return
		}
	}
}

func (c *crashes) tell(ctx context.Context, f forward, list []crashReport) {
	for began := time.Now(); ctx.Err() == nil && time.Since(began) < crashesFor; {
		once, cancel := context.WithTimeout(ctx, crashesTimeout)
		_, why := f(once, &wire.Forward{
			Kind: wire.ForwardKind_FORWARD_CRASHES, DeadlineMs: uint32(crashesTimeout.Milliseconds()), Crashes: joined(c.process, list, time.Now()),
		})
		cancel()
		if why == nil {
			return
		}
		wait.For(ctx, crashesPause)
	}
	event.CrashDetected.Log(c.log, zap.Bool("dropped", true), zap.Int("reports", len(list)))
}

// joined makes one report of several, with its times as of now. Those on the clock of this box stay.
func joined(box string, list []crashReport, now time.Time) *wire.CrashReport {
	all := &wire.CrashReport{Box: box}
	for _, r := range list {
		since := uint32(now.Sub(r.made).Milliseconds())
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
