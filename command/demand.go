package command

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"leverdrum/admin"
)

type demandResult struct{ admin.Demand }

func (r *demandResult) text(w io.Writer) {
	if !r.Shared {
		fmt.Fprintf(w, "box %s does not share load with other boxes, so it knows no demand over all boxes\n", r.Box)
		return
	}
	fmt.Fprintf(w, "as known to box %s; prefill a second, and requests a second\n\n", r.Box)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "POOL\tRANK\tOFFERED\tADMITTED\tWAITING\tREFUSED\tLATE\tABOVE THEIR SHARE")
	for _, p := range r.Pools {
		if !p.Known {
			fmt.Fprintf(t, "%s\tnot known: the hub was not heard from\n", p.Pool)
		}
		for _, d := range p.Ranks {
			fmt.Fprintf(t, "%s\t%d\t%.0f ms\t%.0f ms\t%.0f ms\t%.1f\t%.1f\t%s\n", p.Pool, d.Rank, d.OfferedMs, d.AdmittedMs, d.WaitingMs, d.Refused, d.Late, aboveShare(d))
		}
	}
	t.Flush()
}

func aboveShare(d admin.RankDemand) string {
	var list []string
	for _, w := range d.AboveShare {
		list = append(list, fmt.Sprintf("%s (%.0f of %.0f ms)", cmp.Or(w.Workspace, "others"), w.OfferedMs, w.ShareMs))
	}
	return cmp.Or(strings.Join(list, ", "), "-")
}

type demandCommand struct {
	p *printer
	c *client
}

func (*demandCommand) Name() string { return "demand" }
func (*demandCommand) Synopsis() string {
	return "print the demand for pools by rank over all boxes, and the workspaces above their share"
}
func (*demandCommand) Usage() string {
	return "demand\n  Lists, for each pool whose load the boxes share, the demand of each rank as the first box in -box that answers knows it:\n  prefill that is offered and admitted a second, prefill that waits in boxes, requests a second that are refused or late,\n  and the workspaces that ask for more than their share (offered of share) where the rank is short of capacity.\n"
}
func (*demandCommand) SetFlags(_ *flag.FlagSet) {}

func (c *demandCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	r, status := c.c.read(ctx, c.p, admin.DemandPath)
	if r == nil {
		return status
	}
	d := &demandResult{}
	if err := json.Unmarshal(r.body, &d.Demand); err != nil {
		return reportCallError(c.p, err)
	}
	c.p.print(d)
	return ExitOK
}
