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

// evacuationResult prints a box's answer to an evacuation.
type evacuationResult struct{ admin.EvacuationAnswer }

func (r *evacuationResult) text(w io.Writer) {
	switch {
	case r.Reason != "":
		fmt.Fprintf(w, "%s: %s\n", r.Reason, r.Text)
	case r.Evacuated:
		fmt.Fprintf(w, "data hall %s is evacuated: nothing goes to its backend servers\n", r.Hall)
	default:
		fmt.Fprintf(w, "data hall %s is not evacuated any more\n", r.Hall)
	}
}

type evacuateCommand struct {
	p    *printer
	c    *client
	undo bool
}

func (*evacuateCommand) Name() string { return "evacuate" }
func (*evacuateCommand) Synopsis() string {
	return "keep everything from the backend servers of a data hall"
}
func (*evacuateCommand) Usage() string {
	return "evacuate [-undo] HALL\n  Has nothing sent to the data hall's backend servers until it is taken back; both may be repeated.\n"
}

func (c *evacuateCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.undo, "undo", false, "take the evacuation back")
}

func (c *evacuateCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprintln(c.p.err, "one data hall must be named")
		return ExitUsage
	}
	method := http.MethodPut
	if c.undo {
		method = http.MethodDelete
	}
	r, err := c.c.call(ctx, method, admin.EvacuationsPath+url.PathEscape(f.Arg(0)), nil, "")
	if err != nil {
		return callFailed(c.p, err)
	}
	answer := &evacuationResult{}
	if err := json.Unmarshal(r.body, &answer.EvacuationAnswer); err != nil {
		return callFailed(c.p, fmt.Errorf("%w: status %d", errUnknown, r.status))
	}
	c.p.print(answer)
	switch {
	case r.status == http.StatusOK:
		return ExitOK
	case r.status == http.StatusGatewayTimeout:
		return ExitUnknown
	}
	return ExitRefused
}
