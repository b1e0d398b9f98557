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

// Rules for the account of a day:
//
//  1. Every line that ends a request counts once, at the moment at which the request came;
//     a caller's second try is a request of its own.
//  2. A request was in time if its server's answer passed with success, its first event came
//     within its route's aim, and no pause between two events was longer than its route
//     bears. Answered requests have lines at the level debug only.
//  3. Any other has exactly one cause, the first row of the table below that fits.
//  4. Time is cut into windows of equal length; those with the smallest share in time come
//     first.

// What a line must say to fall under a cause (3).
type causeRow struct {
	cause string
	fits  func(l *Line) bool
}

// far is the part of its aim that a request must have waited for the wait to be its cause.
const far = 0.5

var causeTable = []causeRow{
	{"the server's own failure", func(l *Line) bool { return l.Event == event.RequestDone.Code && l.number("status") >= 400 }},
	{"late: a sending failed before", func(l *Line) bool { return l.lateFirst() && l.number("sends") > 1 }},
	{"late: no server had the model yet", func(l *Line) bool { return l.lateFirst() && l.number("waited") > far*l.number("aim") }},
	{"late: others waited at the server", func(l *Line) bool {
		return l.lateFirst() && l.number("behind") > l.number("reckoned")
	}},
	{"late: the server took longer than reckoned", func(l *Line) bool { return l.lateFirst() }},
	{"late: a pause between two events", func(l *Line) bool { return l.latePause() }},
}

func (l *Line) number(name string) float64 {
	v, _ := l.Data[name].(float64)
	return v
}

func (l *Line) lateFirst() bool {
	return l.Event == event.RequestDone.Code && l.number("first") > l.number("aim")
}

func (l *Line) latePause() bool {
	pause := l.number("pause")
	return l.Event == event.RequestDone.Code && pause > 0 && l.number("longest") > pause
}

// causeOf returns why a request was not answered in time, "" if it was; false for a line
// that ends none.
func causeOf(l *Line) (string, bool) {
	switch l.Event {
	case event.RequestDone.Code:
		for _, row := range causeTable {
			if row.fits(l) {
				return row.cause, true
			}
		}
		return "", true
	case event.RequestFailed.Code, event.RequestRefused.Code:
		return endOf(l), true
	}
	return "", false
}

// endOf names the outcome of a request that got no server's answer.
func endOf(l *Line) string {
	outcome := l.field("outcome")
	if why := reason.ByCode(outcome); why != nil {
		return fmt.Sprintf("%s: %s", outcome, why.Title)
	}
	return outcome
}

// Count is how many requests fell under a name.
type Count struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
}

// Window is a stretch of time.
type Window struct {
	From     time.Time `json:"from"`
	Requests int       `json:"requests"`
	InTime   int       `json:"in_time"`
	Causes   []Count   `json:"causes"`
}

// InTimeShare is the share of requests in time.
func (w *Window) InTimeShare() float64 { return float64(w.InTime) / float64(max(1, w.Requests)) }

// Summary is the account of what the logs tell.
type Summary struct {
	Requests int     `json:"requests"`
	InTime   int     `json:"in_time"`
	Causes   []Count `json:"causes"`
	// Routes, Models and Servers count the requests that were not in time.
	Routes  []Count `json:"routes"`
	Models  []Count `json:"models"`
	Servers []Count `json:"servers"`
	// Windows are those with the smallest share in time first.
	Windows []Window `json:"windows"`
}

// Summarize returns the account, in windows of a length.
func (l *Log) Summarize(length time.Duration) *Summary {
	d := &Summary{}
	causes, routes, models, servers := map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}
	windows := map[time.Time]*tally{}
	for i := range l.Lines {
		line := &l.Lines[i]
		cause, ends := causeOf(line)
		if !ends {
			continue
		}
		came := line.Time.Add(-time.Duration(line.number("after") * float64(time.Second))) // (1)
		w := windows[came.Truncate(length)]
		if w == nil {
			w = &tally{causes: map[string]int{}}
			windows[came.Truncate(length)] = w
		}
		d.Requests++
		w.requests++
		if cause == "" {
			d.InTime++
			w.inTime++
			continue
		}
		causes[cause]++
		w.causes[cause]++
		for name, m := range map[string]map[string]int{"route": routes, "model": models, "server": servers} {
			if v := line.field(name); v != "" {
				m[v]++
			}
		}
	}
	d.Causes, d.Routes, d.Models, d.Servers = counts(causes), counts(routes), counts(models), counts(servers)
	for from, w := range windows {
		d.Windows = append(d.Windows, Window{from, w.requests, w.inTime, counts(w.causes)})
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

// counts lists the most frequent first.
func counts(m map[string]int) []Count {
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
	// printedWindows and printedRows bound what Print writes of each kind.
	printedWindows = 5
	printedRows    = 8
)

// Print writes the account for people.
func (d *Summary) Print(w io.Writer) {
	fmt.Fprintf(w, "%d requests, %d in time (%.3f)\n", d.Requests, d.InTime, float64(d.InTime)/math.Max(1, float64(d.Requests)))
	printCounts(w, "causes of the others", d.Causes, len(d.Causes))
	printCounts(w, "by route", d.Routes, printedRows)
	printCounts(w, "by model", d.Models, printedRows)
	printCounts(w, "by server", d.Servers, printedRows)
	for _, win := range d.Windows[:min(len(d.Windows), printedWindows)] {
		fmt.Fprintf(w, "\nfrom %s: %d of %d in time\n", win.From.Format("15:04:05.0"), win.InTime, win.Requests)
		printCounts(w, "", win.Causes, printedRows)
	}
}

func printCounts(w io.Writer, title string, list []Count, most int) {
	if title != "" {
		fmt.Fprintf(w, "\n%s\n", title)
	}
	for _, c := range list[:min(len(list), most)] {
		fmt.Fprintf(w, "%8d  %s\n", c.Requests, c.Name)
	}
}
