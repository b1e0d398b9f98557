package command

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"leverdrum/workspace"
)

// keyResult is a new key and what stands for it.
type keyResult struct {
	Key string `json:"key"`
	// Line is what a fleet file may hold in place of the key.
	Line string `json:"line"`
	// Shown is how the key is shown by explain.
	Shown string `json:"shown"`
}

func (r *keyResult) text(w io.Writer) {
	fmt.Fprintf(w, "key:  %s\nline: keys = %s\nshown as %s; the key itself is kept nowhere\n", r.Key, r.Line, r.Shown)
}

type keyCommand struct{ p *printer }

func (*keyCommand) Name() string     { return "key" }
func (*keyCommand) Synopsis() string { return "make a key of a workspace, and its line" }
func (*keyCommand) Usage() string {
	return "key\n  Draws a key, for the caller, and prints the line of the fleet file that holds its digest. Nothing is sent anywhere.\n"
}
func (*keyCommand) SetFlags(*flag.FlagSet) {}

func (c *keyCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	key := workspace.NewKey()
	d := workspace.DigestOf(key)
	c.p.print(&keyResult{key, d.Encode(), d.String()})
	return ExitOK
}
