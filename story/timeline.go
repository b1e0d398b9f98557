// Package story reconstructs from the log lines of many boxes what happened to one
// request, and summarizes why requests were not answered in time.
//
// Rules:
//
//  1. A line is parsed from its first brace. Text before it, such as a box name or a
//     collector's timestamp, is ignored. Lines that are not log lines are only counted.
//  2. The lines of a request are those that carry its id.
//  3. They are shown with the lines that affected the request: those of its server and its
//     model, from some seconds before its last line up to that line, and changes of the
//     leader in that time. Lines about servers that terminated while they processed the
//     request, and about the request being blocked, are included regardless of their age.
//  4. The cause is the outcome in the last line of the request, as the table of reasons
//     explains it.
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
	// lookback is how long before the request's last line other lines are included (3).
	lookback = 10 * time.Second
	// maxLineBytes bounds the length of a line.
	maxLineBytes = 1 << 20
	// callerGone is the outcome of a request whose caller disconnected.
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
	// Skipped counts the lines that are not log lines of a box (1).
	Skipped int
}

// Read adds the lines of a file.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Bytes())
		if !ok {
			l.Skipped++
			continue
		}
		l.Lines = append(l.Lines, line)
	}
	return Error.Wrap(scanner.Err())
}

// parseLine parses a log line from its first brace. It returns false for other lines (1).
func parseLine(text []byte) (Line, bool) {
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

// Timeline holds the log lines of a request, the related lines, and the outcome.
type Timeline struct {
	Request string `json:"request"`
	Outcome string `json:"outcome"`
	Cause   string `json:"cause"`
	Lines   []Line `json:"lines"`
}

// Timeline returns the timeline of a request. The error lists the boxes whose logs were searched.
func (l *Log) Timeline(request string) (*Timeline, error) {
	tl := &Timeline{Request: request}
	for _, line := range l.Lines {
		if line.field("request") == request { // (2)
			tl.Lines = append(tl.Lines, line)
		}
	}
	if len(tl.Lines) == 0 {
		return nil, Error.New("no line with request %s; searched lines of %s, skipped %d that are not log lines. Answered requests are only logged at level debug, of late ones at most 5 a second at other levels", request, l.boxes(), l.Skipped)
	}
	slices.SortStableFunc(tl.Lines, byTime)
	last := tl.Lines[len(tl.Lines)-1]
	tl.Outcome = last.field("outcome")
	tl.Cause = describeOutcome(&last)
	fingerprints, parts := map[string]bool{}, map[string]bool{}
	for _, line := range tl.Lines {
		fingerprints[line.field("print")] = true
		for _, part := range line.list("parts") {
			parts[part] = true
		}
	}
	delete(fingerprints, "")
	for _, line := range l.Lines {
		if isRelevant(&line, &last) || isAboutFingerprint(&line, fingerprints) || isAboutPart(&line, parts) {
			tl.Lines = append(tl.Lines, line)
		}
	}
	slices.SortStableFunc(tl.Lines, byTime)
	return tl, nil
}

func byTime(a, b Line) int { return a.Time.Compare(b.Time) }

// isRelevant reports whether a line of the lookback period is about the server or the model of the request's last line, or
// about a change of the leader (3).
func isRelevant(line, last *Line) bool {
	if line.field("request") != "" || line.Time.After(last.Time) || line.Time.Before(last.Time.Add(-lookback)) {
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

// isAboutFingerprint reports whether a line is about servers that terminated while they processed a request with one of
// the fingerprints, or about such a request being blocked (3).
func isAboutFingerprint(line *Line, fingerprints map[string]bool) bool {
	switch line.Event {
	case event.CrasherBlocked.Code, event.CrasherReleased.Code:
		return fingerprints[line.field("print")]
	case event.CrashDetected.Code:
		return line.listContains("prints", fingerprints) || line.listContains("weak", fingerprints)
	}
	return false
}

// isAboutPart reports whether a line is about servers that terminated while they processed requests with one of the blocked prompt parts,
// or about such a part being blocked. The parts are named by service and ID, those of terminated servers by ID alone.
func isAboutPart(line *Line, parts map[string]bool) bool {
	switch line.Event {
	case event.CrasherBlocked.Code, event.CrasherReleased.Code:
		return parts[line.field("part")]
	case event.CrashDetected.Code, event.CrashExposed.Code:
		return slices.ContainsFunc(line.list("parts"), func(id string) bool {
			for part := range parts {
				if strings.HasSuffix(part, "/"+id) {
					return true
				}
			}
			return false
		})
	}
	return false
}

// listContains reports whether a list field contains one of the values.
func (l *Line) listContains(name string, values map[string]bool) bool {
	return slices.ContainsFunc(l.list(name), func(v string) bool { return values[v] })
}

// list returns the texts of a list field.
func (l *Line) list(name string) (texts []string) {
	items, _ := l.Data[name].([]any)
	for _, item := range items {
		if text, ok := item.(string); ok {
			texts = append(texts, text)
		}
	}
	return texts
}

// describeOutcome explains the outcome in the last line of a request (4).
func describeOutcome(last *Line) string {
	outcome := last.field("outcome")
	why := reason.ByCode(outcome)
	switch {
	case last.Event == event.RequestDone.Code:
		return "The request was answered."
	case last.Event == event.RequestLate.Code:
		cause, _ := missCause(last)
		return "The request was answered late: " + strings.TrimPrefix(cause, "late: ") + "."
	case last.Event == event.RequestRetried.Code:
		return "The request was retried. No line logs its end, so it was answered or its box terminated."
	case outcome == callerGone:
		return "The caller disconnected before the response was complete."
	case why == nil:
		return "The outcome " + outcome + " is not in the table of reasons."
	}
	text := why.Title
	if previous := reason.ByCode(last.field("last")); previous != nil && previous != why {
		text += " Last attempt: " + previous.Title
	}
	return text
}

// boxes lists the boxes, each with the time range of its lines.
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

// Print writes the timeline as text; the request's own lines are marked with ">".
func (tl *Timeline) Print(w io.Writer) {
	fmt.Fprintf(w, "request %s: %s\n%s\n\n", tl.Request, tl.Outcome, tl.Cause)
	for _, line := range tl.Lines {
		mark := " "
		if line.field("request") == tl.Request {
			mark = ">"
		}
		fmt.Fprintf(w, "%s %s %-16s %-20s %s\n", mark, line.Time.Format("15:04:05.000"), line.Box, line.Event, line.fields())
	}
}

// fields formats the fields of a line, sorted by name.
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
