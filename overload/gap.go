package overload

import "time"

const (
	// gapShare is the share of the gap target that the prefill outstanding at a server may take (9):
	// estimates of prefill are off by some 10%.
	gapShare = 0.9
	// emptyQueue is the queue below which nothing waits at a server: the costs of a connection and of
	// another data hall are counted in the queue and together are 4 ms.
	emptyQueue = 10 * time.Millisecond
)

// gapLimit returns the queue up to which the request leaves the streams running at the server their gap
// target (9); false where it has no such limit.
func (in Input) gapLimit() (time.Duration, bool) {
	if in.UrgentRanks == 0 || in.Running <= 0 || in.GapTarget <= 0 || in.Work >= in.GapTarget {
		return 0, false
	}
	return max(emptyQueue, time.Duration(gapShare*float64(in.GapTarget))-in.Work), true
}

// holdForGap returns the longest wait until the next decision of a request that would cause a gap (9);
// false if it is to be sent. At that decision it is still in time, so that the wait never demotes it.
func (in Input) holdForGap() (time.Duration, bool) {
	limit, ok := in.gapLimit()
	queue := in.queue()
	slack := in.target() - margin - in.Waited - queue - in.Work - in.Fixed
	if !ok || queue <= limit || slack < 2*MinWake {
		return 0, false
	}
	return max(MinWake, min(maxWait, queue-limit, slack-MinWake)), true
}
