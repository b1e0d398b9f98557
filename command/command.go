// Package command is the operators' command line. Each subcommand makes one
// result, which is printed for people or, with -json, for programs.
package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
)

// Exit statuses, documented in docs/OPERATING.md.
const (
	// ExitOK: what was asked for was done.
	ExitOK = subcommands.ExitSuccess
	// ExitRefused: the file or call was refused; nothing was changed.
	ExitRefused subcommands.ExitStatus = 1
	// ExitUsage: the command line is wrong.
	ExitUsage = subcommands.ExitUsageError
	// ExitUnreachable: no box answered; nothing was changed.
	ExitUnreachable subcommands.ExitStatus = 3
	// ExitUnknown: whether the file was accepted is not known; apply it again.
	ExitUnknown subcommands.ExitStatus = 4
	// ExitPropagating: the file is agreed, but not yet in force on a majority of
	// the boxes.
	ExitPropagating subcommands.ExitStatus = 5
)

// printer writes results.
type printer struct {
	out, err io.Writer
	json     bool
}

// result is what a subcommand found out.
type result interface {
	// text writes the result for people.
	text(w io.Writer)
}

func (p *printer) print(r result) {
	if !p.json {
		r.text(p.out)
		return
	}
	enc := json.NewEncoder(p.out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(r); err != nil {
		fmt.Fprintln(p.err, err)
	}
}

// Main runs the command line of the process and returns the exit status.
func Main(out, err io.Writer) int { return Run(os.Args[1:], out, err) }

// Run runs a command line and returns the exit status.
func Run(args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("leverdrum", flag.ContinueOnError)
	flags.SetOutput(errOut)
	p := &printer{out: out, err: errOut}
	flags.BoolVar(&p.json, "json", false, "print results as JSON")
	c := &client{}
	flags.StringVar(&c.addresses, "box", os.Getenv("LEVERDRUM_BOX"), "operators' addresses of boxes, separated by commas; the first that answers is used (LEVERDRUM_BOX)")
	flags.StringVar(&c.certificate, "certificate", "", "file with the operator's certificate")
	flags.StringVar(&c.key, "key", "", "file with the certificate's key")
	flags.StringVar(&c.authority, "authority", "", "file with the certificates that boxes are checked against")
	commander := subcommands.NewCommander(flags, "leverdrum")
	commander.Output, commander.Error = out, errOut
	commander.Register(commander.HelpCommand(), "")
	for _, cmd := range []subcommands.Command{
		&checkCommand{p}, &applyCommand{p: p, c: c}, &showCommand{p, c}, &statusCommand{p, c}, &explainCommand{p, c}, &storyCommand{p, os.Stdin}, &dayCommand{storyCommand: storyCommand{p, os.Stdin}}, &evacuateCommand{p: p, c: c}, &keyCommand{p}, &docsCommand{p},
	} {
		commander.Register(cmd, "")
	}
	if err := flags.Parse(args); err != nil {
		return int(ExitUsage)
	}
	return int(commander.Execute(context.Background()))
}
