package command

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"leverdrum/admin"
	"leverdrum/event"
	"leverdrum/fleet"
	"leverdrum/internal/conf"
	"leverdrum/meter"
	"leverdrum/reason"
	"leverdrum/settings"
)

type showResult struct {
	Text string `json:"text"`
}

func (r *showResult) text(w io.Writer) { fmt.Fprint(w, r.Text) }

type showCommand struct {
	p *printer
	c *client
}

func (*showCommand) Name() string             { return "show" }
func (*showCommand) Synopsis() string         { return "print the fleet file in force" }
func (*showCommand) Usage() string            { return "show\n  Reads the file back from the leader.\n" }
func (*showCommand) SetFlags(_ *flag.FlagSet) {}

func (c *showCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	r, status := c.c.read(ctx, c.p, admin.FleetPath)
	if r == nil {
		return status
	}
	c.p.print(&showResult{string(r.body)})
	return ExitOK
}

// read asks for what is in force. Without an answer it prints why, and returns the exit
// status that says so.
func (c *client) read(ctx context.Context, p *printer, path string) (*reply, subcommands.ExitStatus) {
	r, err := c.call(ctx, http.MethodGet, path, nil, "")
	if err != nil {
		return nil, callFailed(p, err)
	}
	if r.status != http.StatusOK {
		return nil, refused(p, r)
	}
	return r, ExitOK
}

func refused(p *printer, r *reply) subcommands.ExitStatus {
	answer := &applyResult{}
	if err := json.Unmarshal(r.body, &answer.ApplyAnswer); err != nil {
		fmt.Fprintf(p.err, "status %d: %s\n", r.status, strings.TrimSpace(string(r.body)))
		return ExitRefused
	}
	p.print(answer)
	return ExitRefused
}

type statusResult struct{ admin.Status }

func (r *statusResult) text(w io.Writer) {
	if r.Fleet == nil {
		fmt.Fprintln(w, "no fleet file is in force")
	} else {
		fmt.Fprintf(w, "fleet file %d, digest %.12s, by %q, since %s\n", r.Fleet.Number, r.Fleet.Digest, r.Fleet.Operator, r.Fleet.Since.Format("2006-01-02 15:04:05Z07:00"))
	}
	fmt.Fprintf(w, "leader %s in term %d, index %d, %d open orders, %d moves\n\n", r.Leader, r.Term, r.Index, r.Orders, r.Moves)
	fmt.Fprintln(w, r.Level)
	if r.LevelBlocker != "" {
		fmt.Fprintf(w, "the next one waits for %s\n", r.LevelBlocker)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "BOX\tHALL\tDISK\tVOTER\tBUILD\tLEVEL\tSTATE\tINDEX\tHEARD")
	for _, b := range r.Boxes {
		fmt.Fprintf(t, "%s\t%s\t%v\t%v\t%s\t%d\t%s\t%d\t%d ms ago\n", b.Box, b.Hall, b.Disk, b.Voter, cmp.Or(b.Build, "before levels"), uint32(b.Level), b.State, b.Index, b.AgeMs)
	}
	fmt.Fprintln(t, "\nMODEL\tVERSION\tREADY ON\tCOMING ON\t\t\t")
	for _, m := range r.Models {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t\t\t\n", m.Name, m.Version, strings.Join(m.Ready, " "), strings.Join(m.Loading, " "))
	}
	t.Flush()
	for _, e := range r.Evacuations {
		fmt.Fprintf(w, "\ndata hall %s is evacuated since %s: nothing goes to its backend servers\n", e.Hall, e.Since.Format("15:04:05Z07:00"))
	}
	if len(r.Limits) > 0 {
		fmt.Fprintln(w, "\nservers that take no more than they name, in requests a second over all boxes:")
	}
	for _, l := range r.Limits {
		fmt.Fprintf(w, "%s  %.3g, since %s\n", l.Server, l.PerSecond, l.Since.Format("15:04:05Z07:00"))
	}
	if len(r.ServerStatuses) > 0 {
		fmt.Fprintf(w, "\nservers that said in their answers to box %s that they rest or drain:\n", r.AnsweredBy)
	}
	for _, row := range r.ServerStatuses {
		fmt.Fprintf(w, "%s  %s\n", row.Server, strings.Join(row.Lines(), "; "))
	}
	if len(r.Blocked) == 0 {
		return
	}
	fmt.Fprintln(w, "\nrequests kept from servers, which ended while they ran them:")
	for _, h := range r.Blocked {
		fmt.Fprintf(w, "%s  version %q, %d times, since %s; ended last: %s\n", h.Fingerprint, h.Version, h.BlockCount, h.Since.Format("15:04:05Z07:00"), strings.Join(h.Servers, " "))
	}
}

type statusCommand struct {
	p *printer
	c *client
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "print what is in force, and where" }
func (*statusCommand) Usage() string {
	return "status\n  Reads from the leader which file is in force on which boxes, and which models are ready where.\n"
}
func (*statusCommand) SetFlags(_ *flag.FlagSet) {}

func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	r, status := c.c.read(ctx, c.p, admin.StatusPath)
	if r == nil {
		return status
	}
	s := &statusResult{}
	if err := json.Unmarshal(r.body, &s.Status); err != nil {
		return callFailed(c.p, err)
	}
	c.p.print(s)
	return ExitOK
}

type explainResult []admin.Explanation

func (r explainResult) text(w io.Writer) {
	for _, e := range r {
		fmt.Fprintf(w, "%s at box %s\n", e.Subject, e.Box)
		for _, line := range e.CurrentState {
			fmt.Fprintf(w, "  now: %s\n", line)
		}
		for _, d := range e.Decisions {
			fmt.Fprintf(w, "  %s %s: %s\n", d.Time.Format("15:04:05.000"), d.Summary, d.Reason)
		}
	}
}

type explainCommand struct {
	p *printer
	c *client
}

func (*explainCommand) Name() string { return "explain" }
func (*explainCommand) Synopsis() string {
	return "say what was decided about a request, model, server or workspace, and why"
}
func (*explainCommand) Usage() string {
	return "explain [workspace] NAME\n  NAME is a request id, a model, an adapter, a backend server or a workspace. All boxes named by -box are asked.\n"
}
func (*explainCommand) SetFlags(_ *flag.FlagSet) {}

func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args := f.Args()
	if len(args) == 2 && args[0] == "workspace" {
		args = args[1:]
	}
	if len(args) != 1 {
		fmt.Fprintln(c.p.err, "one name must be given")
		return ExitUsage
	}
	var found explainResult
	var last error
	for address := range strings.SplitSeq(c.c.addresses, ",") {
		one := *c.c
		one.addresses = address
		r, err := one.call(ctx, http.MethodGet, admin.ExplainPath+url.PathEscape(args[0]), nil, "")
		if err != nil {
			last = err
			continue
		}
		e := admin.Explanation{}
		if r.status == http.StatusOK && json.Unmarshal(r.body, &e) == nil {
			found = append(found, e)
		}
	}
	if len(found) == 0 && last != nil {
		return callFailed(c.p, last)
	}
	if len(found) == 0 {
		fmt.Fprintln(c.p.err, reason.NotFound.Title, reason.NotFound.Remedy)
		return ExitRefused
	}
	c.p.print(found)
	return ExitOK
}

// docsResult is the generated part of the docs.
type docsResult struct {
	Page string `json:"page"`
}

func (r *docsResult) text(w io.Writer) { fmt.Fprint(w, r.Page) }

type docsCommand struct{ p *printer }

func (*docsCommand) Name() string             { return "docs" }
func (*docsCommand) Synopsis() string         { return "print a page made from the program's tables" }
func (*docsCommand) Usage() string            { return "docs reasons|metrics|events|settings|fleet\n" }
func (*docsCommand) SetFlags(_ *flag.FlagSet) {}

func (c *docsCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	page, ok := Page(f.Arg(0))
	if !ok {
		fmt.Fprintln(c.p.err, "one of reasons, metrics, events, settings and fleet must be named")
		return ExitUsage
	}
	c.p.print(&docsResult{page})
	return ExitOK
}

// Page returns a page of the docs that is made from the program's tables.
func Page(name string) (string, bool) {
	var b strings.Builder
	switch name {
	case "reasons":
		fmt.Fprint(&b, "# Reasons\n\nMade by `leverdrum docs reasons` from package reason.\n\n| code | met by | status | outcome | retry after | title | what to do |\n| --- | --- | --- | --- | --- | --- | --- |\n")
		for _, r := range reason.All() {
			fmt.Fprintf(&b, "| `%s` | %s | %d | %s | %v | %s | %s |\n", r.Code, r.Audience, r.Status, r.Outcome, r.RetryAfter, r.Title, r.Remedy)
		}
	case "metrics":
		fmt.Fprint(&b, "# Metrics\n\nMade by `leverdrum docs metrics` from package meter.\n\n| name | kind | labels | meaning |\n| --- | --- | --- | --- |\n")
		for _, m := range meter.All() {
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", m.Name, m.Kind, strings.Join(m.Labels, ", "), m.Help)
		}
	case "events":
		fmt.Fprint(&b, "# Log events\n\nMade by `leverdrum docs events` from package event. Each line of the log carries its code under `event`.\n\n| code | level | message | what to do |\n| --- | --- | --- | --- |\n")
		for _, e := range event.All() {
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", e.Code, e.Level, e.Title, e.Remedy)
		}
	case "settings":
		b.WriteString("# Settings of a box\n\nMade by `leverdrum docs settings` from package settings.\n\n" + conf.Markdown(settings.Schema))
	case "fleet":
		b.WriteString("# Fleet file\n\nMade by `leverdrum docs fleet` from package fleet.\n\n" + conf.Markdown(fleet.Schema))
	default:
		return "", false
	}
	return strings.TrimRight(b.String(), "\n") + "\n", true
}
