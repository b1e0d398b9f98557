// Package command implements the operators' command line. Each subcommand
// produces one result, printed as text or, with -json, as JSON.
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
	// ExitOK: the subcommand succeeded.
	ExitOK = subcommands.ExitSuccess
	// ExitRefused: the file or call was refused; nothing was changed.
	ExitRefused subcommands.ExitStatus = 1
	// ExitUsage: the command line is invalid.
	ExitUsage = subcommands.ExitUsageError
	// ExitUnreachable: no box answered; nothing was changed.
	ExitUnreachable subcommands.ExitStatus = 3
	// ExitUnknown: it is unknown whether the file was accepted; apply it again.
	ExitUnknown subcommands.ExitStatus = 4
	// ExitPropagating: the file is committed, but not yet applied by a majority
	// of the boxes.
	ExitPropagating subcommands.ExitStatus = 5
)

// printer writes results as text or JSON.
type printer struct {
	out, err io.Writer
	json     bool
}

// result is the outcome of a subcommand.
type result interface {
	// text writes the result in readable form.
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

// Main runs the command line in os.Args and returns the exit status.
func Main(out, err io.Writer) int { return Run(os.Args[1:], out, err) }

// Run runs a command line and returns the exit status.
func Run(args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("leverdrum", flag.ContinueOnError)
	flags.SetOutput(errOut)
	p := &printer{out: out, err: errOut}
	flags.BoolVar(&p.json, "json", false, "print results as JSON")
	c := &client{}
	flags.StringVar(&c.addresses, "box", os.Getenv("LEVERDRUM_BOX"), "comma-separated operator addresses of boxes; the first box that answers is used (LEVERDRUM_BOX)")
	flags.StringVar(&c.certificate, "certificate", "", "file with the operator's TLS certificate")
	flags.StringVar(&c.key, "key", "", "file with the certificate's private key")
	flags.StringVar(&c.authority, "authority", "", "file with the CA certificates that box certificates are verified against")
	commander := subcommands.NewCommander(flags, "leverdrum")
	commander.Output, commander.Error = out, errOut
	commander.Register(commander.HelpCommand(), "")
	for _, cmd := range []subcommands.Command{
		&checkCommand{p}, &applyCommand{p: p, c: c}, &showCommand{p, c}, &statusCommand{p, c}, &serversCommand{p, c}, &demandCommand{p, c}, &explainCommand{p, c}, &explainRequestCommand{p, os.Stdin}, &explainDayCommand{explainRequestCommand: explainRequestCommand{p, os.Stdin}}, &evacuateCommand{p: p, c: c}, &crashersCommand{p: p, c: c}, &keyCommand{p}, &docsCommand{p},
	} {
		commander.Register(cmd, "")
	}
	if err := flags.Parse(args); err != nil {
		return int(ExitUsage)
	}
	return int(commander.Execute(context.Background()))
}
