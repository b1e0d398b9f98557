package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"leverdrum/admin"
)

type serversResult struct{ admin.Servers }

func (r *serversResult) text(w io.Writer) {
	if !r.Shared {
		fmt.Fprintf(w, "box %s does not share load with other boxes, so it knows no load and speed of servers over all boxes\n", r.Box)
		return
	}
	age := "the hub was never heard from"
	if r.AgeMs >= 0 {
		age = fmt.Sprintf("the hub was heard from %v ago", time.Duration(r.AgeMs)*time.Millisecond)
	}
	fmt.Fprintf(w, "as known to box %s; %s\n\n", r.Box, age)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SERVER\tPOOL\tHALL\tSLOWNESS\tFAILING\tPREFILL\tRUNNING\tFROM")
	for _, s := range r.Servers.Servers {
		from := "all boxes"
		if !s.Complete {
			from = "this box only"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%.2f\t%.0f%%\t%.0f ms\t%d\t%s\n", s.Server, s.Pool, s.Hall, s.Slowness, 100*s.FailingShare, s.PrefillMs, s.Running, from)
	}
	t.Flush()
}

type serversCommand struct {
	p *printer
	c *client
}

func (*serversCommand) Name() string { return "servers" }
func (*serversCommand) Synopsis() string {
	return "print speed and load of the backend servers over all boxes"
}
func (*serversCommand) Usage() string {
	return "servers\n  Lists the backend servers, those that fail requests and the slowest first: slowness (1 is the average), the share of recent\n  attempts that failed, outstanding prefill and running requests\n  over all boxes, as the first box in -box that answers knows them, and the age of these figures.\n"
}
func (*serversCommand) SetFlags(_ *flag.FlagSet) {}

func (c *serversCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	r, status := c.c.read(ctx, c.p, admin.ServersPath)
	if r == nil {
		return status
	}
	s := &serversResult{}
	if err := json.Unmarshal(r.body, &s.Servers); err != nil {
		return reportCallError(c.p, err)
	}
	c.p.print(s)
	return ExitOK
}
