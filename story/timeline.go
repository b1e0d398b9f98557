// Package story tells what became of one request from the log lines of many boxes.
//
// Rules:
//
//  1. A line counts from its first brace; what stands before it (a box's name, the time
//     of a collector) is passed over. Lines that are no log lines are counted only.
//  2. The request's own lines come first: those that carry its id.
//  3. Beside them stand the lines of what decided it: of its server and its model from
//     some seconds before it came until its end, and changes of the leader.
//     So do the lines on servers that ended under it, and on its being kept from servers, however long before.
//  4. The cause is the outcome of its last line, as the table of reasons explains it.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"leverdrum/event"
	"leverdrum/reason"
)

// Error is the class of this package's errors.
var Error = errs.Class("story")

const (
	// before is how long before the request's last line other lines count (3).
	before = 10 * time.Second
	// longestLine bounds a line, in bytes.
	longestLine = 1 << 20
	// callerGone is the outcome of a request whose caller left.
	callerGone = "caller-gone"
)

// Line is one log line.
type Line struct {
	Time  time.Time      `json:"time"`
	Box   string         `json:"box"`
	Event string         `json:"event"`
	Text  string         `json:"text"`
	Data  map[string]any `json:"data"`
}

func (l *Line) field(name string) string {
	s, _ := l.Data[name].(string)
	return s
}

// Log holds the lines of all boxes.
type Log struct {
	Lines []Line
	// Skipped counts lines that are none of ours (1).
	Skipped int
}

// Read adds the lines of a file.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), longestLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			l.Skipped++
			continue
		}
		l.Lines = append(l.Lines, line)
	}
	return Error.Wrap(scanner.Err())
}

// parse is rule 1.
func parse(text []byte) (Line, bool) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	data := map[string]any{}
	if err := json.Unmarshal(text[i:], &data); err != nil {
		return Line{}, false
	}
	line := Line{Data: data}
	line.Box, line.Event, line.Text = line.field("box"), line.field("event"), line.field("msg")
	at, err := time.Parse(time.RFC3339Nano, line.field("ts"))
	line.Time = at
	for _, known := range []string{"level", "ts", "msg", "box", "hall", "event"} {
		delete(data, known)
	}
	return line, err == nil && line.Event != ""
}

// Timeline is what is known of a request.
type Timeline struct {
	Request string `json:"request"`
	Outcome string `json:"outcome"`
	Cause   string `json:"cause"`
	Lines   []Line `json:"lines"`
}

// Timeline returns a request's story. The error says which boxes' logs were looked at.
func (l *Log) Timeline(request string) (*Timeline, error) {
	s := &Timeline{Request: request}
	for _, line := range l.Lines {
		if line.field("request") == request { // (2)
			s.Lines = append(s.Lines, line)
		}
	}
	if len(s.Lines) == 0 {
		return nil, Error.New("no line names request %s; there are lines of %s, and %d that are none of ours. Answered requests have lines at the level debug only", request, l.boxes(), l.Skipped)
	}
	slices.SortStableFunc(s.Lines, byTime)
	last := s.Lines[len(s.Lines)-1]
	s.Outcome = last.field("outcome")
	s.Cause = cause(&last)
	prints := map[string]bool{}
	for _, line := range s.Lines {
		prints[line.field("print")] = true
	}
	delete(prints, "")
	for _, line := range l.Lines {
		if decided(&line, &last) || aboutPrint(&line, prints) {
			s.Lines = append(s.Lines, line)
		}
	}
	slices.SortStableFunc(s.Lines, byTime)
	return s, nil
}

func byTime(a, b Line) int { return a.Time.Compare(b.Time) }

// decided is rule 3.
func decided(line, last *Line) bool {
	if line.field("request") != "" || line.Time.After(last.Time) || line.Time.Before(last.Time.Add(-before)) {
		return false
	}
	if line.Event == event.LeadershipChanged.Code {
		return true
	}
	server, model := last.field("server"), last.field("model")
	order := line.field("order")
	return server != "" && (line.field("server") == server || strings.HasSuffix(order, " on "+server)) ||
		model != "" && strings.Contains(order, " "+model+"@") || model != "" && strings.Contains(order, " "+model+"/")
}

// aboutPrint reports whether a line is on servers that ended under a request, or on its being held for that.
func aboutPrint(line *Line, prints map[string]bool) bool {
	switch line.Event {
	case event.CrasherBlocked.Code, event.CrasherReleased.Code:
		return prints[line.field("print")]
	case event.CrashDetected.Code:
		return line.lists("prints", prints) || line.lists("weak", prints)
	}
	return false
}

// lists reports whether a field lists one of some values.
func (l *Line) lists(name string, values map[string]bool) bool {
	list, _ := l.Data[name].([]any)
	return slices.ContainsFunc(list, func(v any) bool { s, _ := v.(string); return values[s] })
}

// cause is rule 4.
func cause(last *Line) string {
	outcome := last.field("outcome")
	why := reason.ByCode(outcome)
	switch {
	case last.Event == event.RequestDone.Code:
		return "it was answered"
	case last.Event == event.RequestRetried.Code:
		return "it was sent again, and no line tells of its end: then it was answered, or its box ended"
	case outcome == callerGone:
		return "its caller left before the answer was whole"
	case why == nil:
		return "the outcome " + outcome + " is not in the table of reasons"
	}
	text := why.Title
	if before := reason.ByCode(last.field("last")); before != nil && before != why {
		text += " Its last sending: " + before.Title
	}
	return text
}

// boxes lists the boxes with the span of their lines.
func (l *Log) boxes() string {
	first, last := map[string]time.Time{}, map[string]time.Time{}
	for _, line := range l.Lines {
		if at, ok := first[line.Box]; !ok || line.Time.Before(at) {
			first[line.Box] = line.Time
		}
		if line.Time.After(last[line.Box]) {
			last[line.Box] = line.Time
		}
	}
	var list []string
	for box, at := range first {
		list = append(list, fmt.Sprintf("%s (%s to %s)", box, at.Format(time.TimeOnly), last[box].Format(time.TimeOnly)))
	}
	if len(list) == 0 {
		return "no box"
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

// Print writes the story for people.
func (s *Timeline) Print(w io.Writer) {
	fmt.Fprintf(w, "request %s: %s\n%s\n\n", s.Request, s.Outcome, s.Cause)
	for _, line := range s.Lines {
		mark := " "
		if line.field("request") == s.Request {
			mark = ">"
		}
		fmt.Fprintf(w, "%s %s %-16s %-20s %s\n", mark, line.Time.Format("15:04:05.000"), line.Box, line.Event, line.fields())
	}
}

// fields writes a line's own fields in a fixed order.
func (l *Line) fields() string {
	var list []string
	for name, v := range l.Data {
		if name != "request" {
			list = append(list, fmt.Sprintf("%s=%v", name, v))
		}
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}
