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

type explainRequestResult struct{ *story.Timeline }

func (r explainRequestResult) text(w io.Writer) { r.Print(w) }

// explainRequestCommand reads log files; it contacts no box.
type explainRequestCommand struct {
	p  *printer
	in io.Reader
}

func (*explainRequestCommand) Name() string { return "explain-request" }
func (*explainRequestCommand) Synopsis() string {
	return "reconstruct what happened to a request from log files"
}
func (*explainRequestCommand) Usage() string {
	return "explain-request ID [FILE ...]\n  Reads the logs of boxes, from standard input if no file is given, and prints the lines of the request and the\n  related lines about its server, model and leader, ordered by time, and the cause. docs/OPERATIONS.md has examples.\n"
}
func (*explainRequestCommand) SetFlags(_ *flag.FlagSet) {}

func (c *explainRequestCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprint(c.p.err, c.Usage())
		return ExitUsage
	}
	log := &story.Log{}
	if err := c.readLogs(log, f.Args()[1:]); err != nil {
		fmt.Fprintln(c.p.err, err)
		return ExitUsage
	}
	s, err := log.Timeline(f.Arg(0))
	if err != nil {
		fmt.Fprintln(c.p.err, err)
		return ExitRefused
	}
	c.p.print(explainRequestResult{s})
	return ExitOK
}

type explainDayResult struct{ *story.Summary }

func (r explainDayResult) text(w io.Writer) { r.Print(w) }

// explainDayCommand summarizes all requests in log files.
type explainDayCommand struct {
	explainRequestCommand
	window time.Duration
}

func (*explainDayCommand) Name() string { return "explain-day" }
func (*explainDayCommand) Synopsis() string {
	return "summarize from log files why requests were not in time"
}
func (*explainDayCommand) Usage() string {
	return "explain-day [-window 2s] [FILE ...]\n  Reads the logs of boxes, from standard input if no file is given, and counts the requests that were not in time by\n  cause, route, model, server and workspace, and by time window, the worst window first. Only logs at level debug have\n  the requests that were in time; others have some of the late ones, which count for the rest.\n"
}

func (c *explainDayCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.window, "window", 2*time.Second, "length of the time windows")
}

func (c *explainDayCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	log := &story.Log{}
	if err := c.readLogs(log, f.Args()); err != nil || c.window <= 0 {
		fmt.Fprintln(c.p.err, "explain-day:", cmp.Or(err, errInvalidWindow))
		return ExitUsage
	}
	c.p.print(explainDayResult{log.Summarize(c.window)})
	return ExitOK
}

var errInvalidWindow = errors.New("window must be greater than 0")

func (c *explainRequestCommand) readLogs(log *story.Log, files []string) error {
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
