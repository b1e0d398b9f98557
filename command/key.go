package command

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"leverdrum/workspace"
)

// keyResult is a new key and its digest.
type keyResult struct {
	Key string `json:"key"`
	// Line is the form of the key's digest in a fleet file.
	Line string `json:"line"`
	// Shown is the form in which explain prints the key.
	Shown string `json:"shown"`
}

func (r *keyResult) text(w io.Writer) {
	fmt.Fprintf(w, "key:  %s\nline: keys = %s\nshown as %s; the key itself is not stored\n", r.Key, r.Line, r.Shown)
}

type keyCommand struct{ p *printer }

func (*keyCommand) Name() string     { return "key" }
func (*keyCommand) Synopsis() string { return "generate a workspace key and its fleet file line" }
func (*keyCommand) Usage() string {
	return "key\n  Generates a random key for a caller and prints it with the fleet file line that holds its digest. No box is contacted.\n"
}
func (*keyCommand) SetFlags(*flag.FlagSet) {}

func (c *keyCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	key := workspace.NewKey()
	d := workspace.DigestOf(key)
	c.p.print(&keyResult{key, d.Encode(), d.String()})
	return ExitOK
}
