package command

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"

	"leverdrum/story"
)

type storyResult struct{ *story.Timeline }

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
	s, err := log.Timeline(f.Arg(0))
	if err != nil {
		fmt.Fprintln(c.p.err, err)
		return ExitRefused
	}
	c.p.print(storyResult{s})
	return ExitOK
}

type dayResult struct{ *story.Summary }

func (r dayResult) text(w io.Writer) { r.Print(w) }

// dayCommand accounts for all requests that log files tell of.
type dayCommand struct {
	storyCommand
	window time.Duration
}

func (*dayCommand) Name() string     { return "explain-day" }
func (*dayCommand) Synopsis() string { return "tell from log files why requests were not in time" }
func (*dayCommand) Usage() string {
	return "explain-day [-window 2s] [FILE ...]\n  Reads the logs of boxes, at the level debug, from standard input without files, and counts the requests that were\n  not in time by cause, route, model and server, and by windows of time, the worst first.\n"
}

func (c *dayCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.window, "window", 2*time.Second, "length of the windows of time")
}

func (c *dayCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	log := &story.Log{}
	if err := c.read(log, f.Args()); err != nil || c.window <= 0 {
		fmt.Fprintln(c.p.err, "explain-day:", cmp.Or(err, errWindow))
		return ExitUsage
	}
	c.p.print(dayResult{log.Summarize(c.window)})
	return ExitOK
}

var errWindow = errors.New("the window must be longer than 0")

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
