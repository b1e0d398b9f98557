package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"leverdrum/story"
)

type storyResult struct{ *story.Story }

func (r storyResult) text(w io.Writer) { r.Print(w) }

// storyCommand reads log files; it asks no box.
type storyCommand struct {
	p  *printer
	in io.Reader
}

func (*storyCommand) Name() string     { return "explain-request" }
func (*storyCommand) Synopsis() string { return "tell from log files what became of a request" }
func (*storyCommand) Usage() string {
	return "explain-request ID [FILE ...]\n  Reads the logs of boxes, from standard input without files, and prints the request's lines with those of\n  what decided it, in order of time, and the cause. docs/OPERATIONS.md has examples.\n"
}
func (*storyCommand) SetFlags(_ *flag.FlagSet) {}

func (c *storyCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprint(c.p.err, c.Usage())
		return ExitUsage
	}
	log := &story.Log{}
	if err := c.read(log, f.Args()[1:]); err != nil {
		fmt.Fprintln(c.p.err, err)
		return ExitUsage
	}
	s, err := log.Of(f.Arg(0))
	if err != nil {
		fmt.Fprintln(c.p.err, err)
		return ExitRefused
	}
	c.p.print(storyResult{s})
	return ExitOK
}

func (c *storyCommand) read(log *story.Log, files []string) error {
	if len(files) == 0 {
		return log.Read(c.in)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		err = log.Read(file)
		file.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}
