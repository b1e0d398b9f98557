package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/google/subcommands"

	"leverdrum/admin"
)

// evacuationResult prints a box's response to an evacuation call.
type evacuationResult struct{ admin.EvacuationAnswer }

func (r *evacuationResult) text(w io.Writer) {
	switch {
	case r.Reason != "":
		fmt.Fprintf(w, "%s: %s\n", r.Reason, r.Text)
	case r.Evacuated:
		fmt.Fprintf(w, "data hall %s is evacuated: nothing is sent to its backend servers\n", r.Hall)
	default:
		fmt.Fprintf(w, "data hall %s is no longer evacuated\n", r.Hall)
	}
}

type evacuateCommand struct {
	p    *printer
	c    *client
	undo bool
}

func (*evacuateCommand) Name() string { return "evacuate" }
func (*evacuateCommand) Synopsis() string {
	return "stop sending anything to the backend servers of a data hall"
}
func (*evacuateCommand) Usage() string {
	return "evacuate [-undo] HALL\n  Stops all traffic to the data hall's backend servers until -undo ends the evacuation; both calls may be repeated.\n"
}

func (c *evacuateCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.undo, "undo", false, "end the evacuation")
}

func (c *evacuateCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprintln(c.p.err, "exactly one data hall is required")
		return ExitUsage
	}
	method := http.MethodPut
	if c.undo {
		method = http.MethodDelete
	}
	r, err := c.c.call(ctx, method, admin.EvacuationsPath+url.PathEscape(f.Arg(0)), nil, "")
	if err != nil {
		return reportCallError(c.p, err)
	}
	answer := &evacuationResult{}
	if err := json.Unmarshal(r.body, &answer.EvacuationAnswer); err != nil {
		return reportCallError(c.p, fmt.Errorf("%w: status %d", errUnknownOutcome, r.status))
	}
	c.p.print(answer)
	return changeStatus(r.status)
}

// changeStatus returns the exit status for a box's response to a call that changes something.
func changeStatus(status int) subcommands.ExitStatus {
	switch status {
	case http.StatusOK:
		return ExitOK
	case http.StatusGatewayTimeout:
		return ExitUnknown
	}
	return ExitRefused
}
