package story

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"leverdrum/event"
	"leverdrum/reason"
)

// Rules for the summary of requests:
//
//  1. Every line that ends a request counts once, at the arrival time of the request. A
//     retry by the caller is a separate request.
//  2. A request was in time if its server's response was passed on successfully, its first
//     event arrived within its route's latency target, and no gap between two events
//     exceeded the route's limit. Answered requests are only logged at level debug. At other levels
//     late answers are logged in part, and such a line counts for itself and those skipped before it.
//  3. Every other request has exactly one cause, the first matching row of causeTable.
//  4. Time is divided into windows of equal length, sorted by ascending share of requests
//     in time.

// causeRow is a cause and the condition that a line must meet to be counted under it (3).
type causeRow struct {
	cause   string
	matches func(l *Line) bool
}

// waitCauseFraction is the fraction of its latency target that a request must have waited for the wait to be its cause.
const waitCauseFraction = 0.5

var causeTable = []causeRow{
	{"the server returned an error", func(l *Line) bool { return l.isAnswer() && l.number("status") >= 400 }},
	{"late: an earlier attempt failed", func(l *Line) bool { return l.firstEventLate() && l.number("sends") > 1 }},
	{"late: no server had the model ready", func(l *Line) bool {
		return l.firstEventLate() && l.number("waited") > waitCauseFraction*l.number("aim")
	}},
	{"late: queued behind other requests at the server", func(l *Line) bool {
		return l.firstEventLate() && l.number("behind") > l.number("reckoned")
	}},
	{"late: the server took longer than estimated", func(l *Line) bool { return l.firstEventLate() }},
	{"late: a gap between two events", func(l *Line) bool { return l.pauseTooLong() }},
}

func (l *Line) number(name string) float64 {
	v, _ := l.Data[name].(float64)
	return v
}

// isAnswer reports whether the line is about a request that was answered.
func (l *Line) isAnswer() bool {
	return l.Event == event.RequestDone.Code || l.Event == event.RequestLate.Code
}

// maxSkipped bounds the requests that one line counts for, in case the field is malformed.
const maxSkipped = 1_000_000

// weight is the number of requests that the line counts for (2).
func (l *Line) weight() int {
	if l.Event != event.RequestLate.Code {
		return 1
	}
	return 1 + int(min(max(l.number("skipped"), 0), maxSkipped))
}

func (l *Line) firstEventLate() bool {
	return l.isAnswer() && l.number("first") > l.number("aim")
}

func (l *Line) pauseTooLong() bool {
	pause := l.number("pause")
	return l.isAnswer() && pause > 0 && l.number("longest") > pause
}

// missCause returns why a request was not answered in time, or "" if it was. It returns
// false for a line that does not end a request.
func missCause(l *Line) (string, bool) {
	switch l.Event {
	case event.RequestDone.Code, event.RequestLate.Code:
		for _, row := range causeTable {
			if row.matches(l) {
				return row.cause, true
			}
		}
		return "", true
	case event.RequestFailed.Code, event.RequestRefused.Code:
		return outcomeCause(l), true
	}
	return "", false
}

// outcomeCause names the outcome of a request that received no response from a server.
func outcomeCause(l *Line) string {
	outcome := l.field("outcome")
	if why := reason.ByCode(outcome); why != nil {
		return fmt.Sprintf("%s: %s", outcome, why.Title)
	}
	return outcome
}

// Count is the number of requests under a name.
type Count struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
}

// Window counts the requests that arrived in a period of time.
type Window struct {
	From     time.Time `json:"from"`
	Requests int       `json:"requests"`
	InTime   int       `json:"in_time"`
	Causes   []Count   `json:"causes"`
}

// InTimeShare returns the fraction of requests that were in time.
func (w *Window) InTimeShare() float64 { return float64(w.InTime) / float64(max(1, w.Requests)) }

// Summary counts the requests in the logs, and their causes of lateness or failure.
type Summary struct {
	Requests int     `json:"requests"`
	InTime   int     `json:"in_time"`
	Causes   []Count `json:"causes"`
	// Routes, Models and Servers count the requests that were not in time.
	Routes  []Count `json:"routes"`
	Models  []Count `json:"models"`
	Servers []Count `json:"servers"`
	// Workspaces counts the causes of each workspace.
	Workspaces []Workspace `json:"workspaces"`
	// Estimated is the number of requests that have no line of their own: lines of late answers are counted for them.
	Estimated int `json:"estimated,omitempty"`
	// LateOnly reports that late answers were logged without the answers in time, which are then not counted.
	LateOnly bool `json:"late_only,omitempty"`
	// Windows are sorted by ascending share of requests in time.
	Windows []Window `json:"windows"`
}

// Summarize returns the summary of all lines, with windows of the given length.
func (l *Log) Summarize(length time.Duration) *Summary {
	d := &Summary{}
	causes, routes, models, servers := map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}
	windows := map[time.Time]*tally{}
	workspaces := map[string]map[string]int{}
	for i := range l.Lines {
		line := &l.Lines[i]
		cause, isEnd := missCause(line)
		if !isEnd {
			continue
		}
		arrived := line.Time.Add(-time.Duration(line.number("after") * float64(time.Second))) // (1)
		w := windows[arrived.Truncate(length)]
		if w == nil {
			w = &tally{causes: map[string]int{}}
			windows[arrived.Truncate(length)] = w
		}
		n := line.weight()
		d.Requests += n
		d.Estimated += n - 1
		d.LateOnly = d.LateOnly || line.Event == event.RequestLate.Code
		w.requests += n
		if cause == "" {
			d.InTime++
			w.inTime++
			continue
		}
		causes[cause] += n
		w.causes[cause] += n
		addWorkspace(workspaces, line.field("workspace"), cause, n)
		for name, m := range map[string]map[string]int{"route": routes, "model": models, "server": servers} {
			if v := line.field(name); v != "" {
				m[v] += n
			}
		}
	}
	d.Causes, d.Routes, d.Models, d.Servers = sortedCounts(causes), sortedCounts(routes), sortedCounts(models), sortedCounts(servers)
	d.Workspaces = sortedWorkspaces(workspaces)
	for from, w := range windows {
		d.Windows = append(d.Windows, Window{from, w.requests, w.inTime, sortedCounts(w.causes)})
	}
	slices.SortFunc(d.Windows, func(a, b Window) int { // (4)
		return cmp.Or(cmp.Compare(a.InTimeShare(), b.InTimeShare()), a.From.Compare(b.From))
	})
	return d
}

type tally struct {
	requests, inTime int
	causes           map[string]int
}

// sortedCounts returns the counts, the most frequent first.
func sortedCounts(m map[string]int) []Count {
	list := make([]Count, 0, len(m))
	for name, n := range m {
		list = append(list, Count{name, n})
	}
	slices.SortFunc(list, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Name, b.Name))
	})
	return list
}

const (
	// maxPrintedWindows and maxPrintedRows bound the windows, and the rows of each table, that Print writes.
	maxPrintedWindows = 5
	maxPrintedRows    = 8
)

// Print writes the summary as text.
func (d *Summary) Print(w io.Writer) {
	fmt.Fprintf(w, "%d requests, %d in time (%.3f)\n", d.Requests, d.InTime, float64(d.InTime)/math.Max(1, float64(d.Requests)))
	if d.LateOnly {
		fmt.Fprintln(w, "some boxes logged no answers in time (level debug has them): the share in time is too low")
	}
	if d.Estimated > 0 {
		fmt.Fprintf(w, "%d late answers have no line of their own; the line after them counts for them\n", d.Estimated)
	}
	printCounts(w, "causes of requests not in time", d.Causes, len(d.Causes))
	printCounts(w, "by route", d.Routes, maxPrintedRows)
	printCounts(w, "by model", d.Models, maxPrintedRows)
	printCounts(w, "by server", d.Servers, maxPrintedRows)
	printWorkspaces(w, d.Workspaces)
	for _, win := range d.Windows[:min(len(d.Windows), maxPrintedWindows)] {
		fmt.Fprintf(w, "\nfrom %s: %d of %d in time\n", win.From.Format("15:04:05.0"), win.InTime, win.Requests)
		printCounts(w, "", win.Causes, maxPrintedRows)
	}
}

func printCounts(w io.Writer, title string, list []Count, limit int) {
	if title != "" {
		fmt.Fprintf(w, "\n%s\n", title)
	}
	for _, c := range list[:min(len(list), limit)] {
		fmt.Fprintf(w, "%8d  %s\n", c.Requests, c.Name)
	}
}
