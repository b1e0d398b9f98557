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

func (*showCommand) Name() string     { return "show" }
func (*showCommand) Synopsis() string { return "print the active fleet file" }
func (*showCommand) Usage() string {
	return "show\n  Reads the active file from the leader, with keys replaced by their digests.\n"
}
func (*showCommand) SetFlags(_ *flag.FlagSet) {}

func (c *showCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	r, status := c.c.read(ctx, c.p, admin.FleetPath)
	if r == nil {
		return status
	}
	c.p.print(&showResult{string(r.body)})
	return ExitOK
}

// read queries the leader's state through a box. On failure it prints the cause and returns nil with the matching exit
// status.
func (c *client) read(ctx context.Context, p *printer, path string) (*reply, subcommands.ExitStatus) {
	r, err := c.call(ctx, http.MethodGet, path, nil, "")
	if err != nil {
		return nil, reportCallError(p, err)
	}
	if r.status != http.StatusOK {
		return nil, reportRefusal(p, r)
	}
	return r, ExitOK
}

func reportRefusal(p *printer, r *reply) subcommands.ExitStatus {
	answer := &applyResult{}
	if err := json.Unmarshal(r.body, &answer.ApplyAnswer); err != nil {
		fmt.Fprintf(p.err, "HTTP status %d: %s\n", r.status, strings.TrimSpace(string(r.body)))
		return ExitRefused
	}
	p.print(answer)
	return ExitRefused
}

type statusResult struct{ admin.Status }

func (r *statusResult) text(w io.Writer) {
	if r.Fleet == nil {
		fmt.Fprintln(w, "no fleet file is active")
	} else {
		fmt.Fprintf(w, "fleet file %d, digest %.12s, by %q, since %s\n", r.Fleet.Number, r.Fleet.Digest, r.Fleet.Operator, r.Fleet.Since.Format("2006-01-02 15:04:05Z07:00"))
	}
	fmt.Fprintf(w, "leader %s in term %d, index %d, %d open orders, %d moves\n\n", r.Leader, r.Term, r.Index, r.Orders, r.Moves)
	fmt.Fprintln(w, r.Level)
	if r.LevelBlocker != "" {
		fmt.Fprintf(w, "next level waits for %s\n", r.LevelBlocker)
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
		fmt.Fprintf(w, "\ndata hall %s evacuated since %s: nothing is sent to its backend servers\n", e.Hall, e.Since.Format("15:04:05Z07:00"))
	}
	if len(r.Limits) > 0 {
		fmt.Fprintln(w, "\nservers with a rate limit, in requests per second over all boxes:")
	}
	for _, l := range r.Limits {
		fmt.Fprintf(w, "%s  %.3g, since %s\n", l.Server, l.PerSecond, l.Since.Format("15:04:05Z07:00"))
	}
	if len(r.ServerStatuses) > 0 {
		fmt.Fprintf(w, "\nservers in backoff or draining, according to their responses to box %s:\n", r.AnsweredBy)
	}
	for _, row := range r.ServerStatuses {
		fmt.Fprintf(w, "%s  %s\n", row.Server, strings.Join(row.Lines(), "; "))
	}
	if len(r.Blocked) == 0 {
		return
	}
	fmt.Fprintln(w, "\nrequests and prompt parts blocked because servers terminated while processing them:")
	for _, h := range r.Blocked {
		subject := fmt.Sprintf("%s  version %q", h.Fingerprint, h.Version)
		if h.Service != "" {
			subject = fmt.Sprintf("part %s of service %s", h.Part, h.Service)
		}
		fmt.Fprintf(w, "%s, %d times, since %s; last terminated: %s\n", subject, h.BlockCount, h.Since.Format("15:04:05Z07:00"), strings.Join(h.Servers, " "))
	}
}

type statusCommand struct {
	p *printer
	c *client
}

func (*statusCommand) Name() string { return "status" }
func (*statusCommand) Synopsis() string {
	return "print the active fleet file and the state of the cluster"
}
func (*statusCommand) Usage() string {
	return "status\n  Reads from the leader which boxes have applied the fleet file and which servers have which models ready.\n"
}
func (*statusCommand) SetFlags(_ *flag.FlagSet) {}

func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	r, status := c.c.read(ctx, c.p, admin.StatusPath)
	if r == nil {
		return status
	}
	s := &statusResult{}
	if err := json.Unmarshal(r.body, &s.Status); err != nil {
		return reportCallError(c.p, err)
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
	return "print recent decisions about a request, model, server or workspace"
}
func (*explainCommand) Usage() string {
	return "explain [workspace] NAME\n  NAME is a request id, a model, an adapter, a backend server or a workspace. All boxes in -box are queried.\n"
}
func (*explainCommand) SetFlags(_ *flag.FlagSet) {}

func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args := f.Args()
	if len(args) == 2 && args[0] == "workspace" {
		args = args[1:]
	}
	if len(args) != 1 {
		fmt.Fprintln(c.p.err, "exactly one name is required")
		return ExitUsage
	}
	var found explainResult
	var lastErr error
	for address := range strings.SplitSeq(c.c.addresses, ",") {
		single := *c.c
		single.addresses = address
		r, err := single.call(ctx, http.MethodGet, admin.ExplainPath+url.PathEscape(args[0]), nil, "")
		if err != nil {
			lastErr = err
			continue
		}
		e := admin.Explanation{}
		if r.status == http.StatusOK && json.Unmarshal(r.body, &e) == nil {
			found = append(found, e)
		}
	}
	if len(found) == 0 && lastErr != nil {
		return reportCallError(c.p, lastErr)
	}
	if len(found) == 0 {
		fmt.Fprintln(c.p.err, reason.NotFound.Title, reason.NotFound.Remedy)
		return ExitRefused
	}
	c.p.print(found)
	return ExitOK
}

// docsResult is a generated page of the documentation.
type docsResult struct {
	Page string `json:"page"`
}

func (r *docsResult) text(w io.Writer) { fmt.Fprint(w, r.Page) }

type docsCommand struct{ p *printer }

func (*docsCommand) Name() string { return "docs" }
func (*docsCommand) Synopsis() string {
	return "print a reference page generated from the program's tables"
}
func (*docsCommand) Usage() string            { return "docs reasons|metrics|events|settings|fleet\n" }
func (*docsCommand) SetFlags(_ *flag.FlagSet) {}

func (c *docsCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	page, ok := Page(f.Arg(0))
	if !ok {
		fmt.Fprintln(c.p.err, "page must be one of reasons, metrics, events, settings, fleet")
		return ExitUsage
	}
	c.p.print(&docsResult{page})
	return ExitOK
}

// Page returns a page of the documentation that is generated from the program's tables, or false for an unknown name.
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
