package command

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"

	"github.com/google/subcommands"

	"leverdrum/admin"
	"leverdrum/fleet"
	"leverdrum/internal/conf"
)

// CheckResult is the result of the check subcommand: the contents of a fleet file, or its faults.
type CheckResult struct {
	File       string       `json:"file"`
	OK         bool         `json:"ok"`
	Number     uint64       `json:"number,omitempty"`
	Digest     string       `json:"digest,omitempty"`
	Servers    int          `json:"servers"`
	Models     int          `json:"models"`
	Adapters   int          `json:"adapters"`
	Services   int          `json:"services"`
	Instances  int          `json:"instances"`
	Workspaces int          `json:"workspaces"`
	Faults     []conf.Fault `json:"faults,omitempty"`
}

func (r *CheckResult) text(w io.Writer) {
	for _, f := range r.Faults {
		fmt.Fprintln(w, f)
	}
	if !r.OK {
		fmt.Fprintf(w, "%s: %d faults\n", r.File, len(r.Faults))
		return
	}
	fmt.Fprintf(w, "%s: ok, number %d, digest %.12s, %d model servers, %d models, %d adapters, %d services on %d backend servers, %d workspaces\n",
		r.File, r.Number, r.Digest, r.Servers, r.Models, r.Adapters, r.Services, r.Instances, r.Workspaces)
}

func checkFile(path string) (*CheckResult, []byte) {
	r := &CheckResult{File: path}
	text, err := os.ReadFile(path)
	if err != nil {
		r.Faults = []conf.Fault{{File: path, Problem: "cannot read file: " + err.Error()}}
		return r, nil
	}
	f, err := fleet.Parse(path, text)
	if err != nil {
		errors.As(err, (*conf.Faults)(&r.Faults))
		return r, nil
	}
	r.OK, r.Number, r.Digest = true, f.Number, fleet.Digest(text)
	r.Servers, r.Models, r.Adapters = len(f.Servers), len(f.Models), len(f.Adapters)
	r.Services, r.Instances, r.Workspaces = len(f.Services), len(f.Instances), len(f.Workspaces.All())
	return r, text
}

type checkCommand struct{ p *printer }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "validate a fleet file offline" }
func (*checkCommand) Usage() string {
	return "check FILE\n  Lists all faults of the file and exits with status 1 if there are any.\n"
}
func (*checkCommand) SetFlags(*flag.FlagSet) {}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprintln(c.p.err, "exactly one fleet file is required")
		return ExitUsage
	}
	r, _ := checkFile(f.Arg(0))
	c.p.print(r)
	if !r.OK {
		return ExitRefused
	}
	return ExitOK
}

// applyResult prints a box's response to an apply call.
type applyResult struct{ admin.ApplyAnswer }

func (r *applyResult) text(w io.Writer) {
	fmt.Fprint(w, r.Outcome)
	if r.Winner != nil {
		fmt.Fprintf(w, ": file number %d, digest %.12s, by %q, since %s", r.Winner.Number, r.Winner.Digest, r.Winner.Operator, r.Winner.Since.Format("2006-01-02 15:04:05Z07:00"))
	}
	if r.Boxes > 0 {
		fmt.Fprintf(w, "; applied by %d of %d boxes", r.AppliedBy, r.Boxes)
	}
	fmt.Fprintln(w)
	if r.Reason != "" {
		fmt.Fprintf(w, "%s: %s\n", r.Reason, r.Text)
	}
	for _, f := range r.Faults {
		fmt.Fprintln(w, f)
	}
}

type applyCommand struct {
	p        *printer
	c        *client
	operator string
}

func (*applyCommand) Name() string     { return "apply" }
func (*applyCommand) Synopsis() string { return "apply a complete fleet file" }
func (*applyCommand) Usage() string {
	return "apply [-operator NAME] FILE\n  Validates the file, sends it and waits until a majority of the boxes have applied it.\n"
}
func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	name := ""
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	f.StringVar(&c.operator, "operator", name, "name of the operator who applies the file")
}

func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprintln(c.p.err, "exactly one fleet file is required")
		return ExitUsage
	}
	checked, text := checkFile(f.Arg(0))
	if !checked.OK {
		c.p.print(checked)
		return ExitRefused
	}
	r, err := c.c.call(ctx, http.MethodPut, admin.FleetPath, text, c.operator)
	if err != nil {
		return reportCallError(c.p, err)
	}
	answer := &applyResult{}
	if err := json.Unmarshal(r.body, &answer.ApplyAnswer); err != nil {
		return reportCallError(c.p, fmt.Errorf("%w: status %d", errUnknownOutcome, r.status))
	}
	c.p.print(answer)
	return applyStatus(r.status, answer.Outcome)
}

func applyStatus(status int, outcome string) subcommands.ExitStatus {
	switch {
	case status == http.StatusOK:
		return ExitOK
	case status == http.StatusAccepted:
		return ExitPropagating
	case outcome == "unknown":
		return ExitUnknown
	}
	return ExitRefused
}

func reportCallError(p *printer, err error) subcommands.ExitStatus {
	fmt.Fprintln(p.err, err)
	if errors.Is(err, errUnknownOutcome) {
		return ExitUnknown
	}
	return ExitUnreachable
}
