package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"leverdrum/admin"
)

// crashersResult prints the suspects that a box knows.
type crashersResult struct{ admin.Crashers }

func (r *crashersResult) text(w io.Writer) {
	fmt.Fprintf(w, "as known to box %s\n\n", r.Box)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SUSPECT\tSTATE\tEVIDENCE\tANSWERED\tSINCE\tFOR\tTERMINATED")
	for _, s := range r.Suspects {
		fmt.Fprintf(t, "%s\t%s\t%d of %d\t%v\t%s\t%s\t%s\n", suspectName(&s), suspectState(&s), s.Weight, s.BlockWeight, s.Served, s.Since.Format("15:04:05Z07:00"), suspectTTL(&s), strings.Join(s.Servers, " "))
	}
	t.Flush()
}

func suspectName(s *admin.SuspectRow) string {
	if s.Service != "" {
		return fmt.Sprintf("part %s of %q", s.Part, s.Service)
	}
	return fmt.Sprintf("request %s, version %q", s.Fingerprint, s.Version)
}

func suspectState(s *admin.SuspectRow) string {
	switch {
	case s.Ruling == admin.RulingExempt:
		return "exempt"
	case s.Ruling == admin.RulingBlock:
		return "blocked by an operator"
	case s.Blocked:
		return "blocked"
	}
	return "suspected"
}

func suspectTTL(s *admin.SuspectRow) string {
	if s.TTL == 0 {
		return "until taken back"
	}
	return s.TTL.String()
}

// rulingResult prints a box's response to a ruling.
type rulingResult struct{ admin.RulingAnswer }

func (r *rulingResult) text(w io.Writer) {
	subject := fmt.Sprintf("request %s of version %q", r.Fingerprint, r.Version)
	if r.Service != "" {
		subject = fmt.Sprintf("prompt part %s of %q", r.Part, r.Service)
	}
	switch {
	case r.Reason != "":
		fmt.Fprintf(w, "%s: %s\n", r.Reason, r.Text)
	case r.Ruling.Ruling == admin.RulingBlock:
		fmt.Fprintf(w, "%s is sent to no server, until -forget\n", subject)
	case r.Ruling.Ruling == admin.RulingExempt:
		fmt.Fprintf(w, "%s is never blocked, until -forget\n", subject)
	default:
		fmt.Fprintf(w, "%s is not ruled on, and its evidence is forgotten\n", subject)
	}
}

type crashersCommand struct {
	p                     *printer
	c                     *client
	block, exempt, forget bool
	version               string
}

func (*crashersCommand) Name() string { return "crashers" }
func (*crashersCommand) Synopsis() string {
	return "list the requests and prompt parts suspected of crashing servers, block or exempt one"
}
func (*crashersCommand) Usage() string {
	return "crashers [-block | -exempt | -forget] [SERVICE PART | [-version V] FINGERPRINT]\n  Without arguments lists what is suspected, as the first box in -box that answers knows it. -block sends requests with a prompt part, or\n  one request, to no server; -exempt never blocks it; -forget takes either back and forgets the evidence. All may be repeated.\n"
}

func (c *crashersCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.block, "block", false, "send it to no server")
	f.BoolVar(&c.exempt, "exempt", false, "never block it")
	f.BoolVar(&c.forget, "forget", false, "take -block or -exempt back, and forget the evidence")
	f.StringVar(&c.version, "version", "", "software version of the servers, for a request")
}

// ruling returns the ruling that the command line asks for; false if it asks for none, or for more than one.
func (c *crashersCommand) ruling(args []string) (*admin.Ruling, bool) {
	r := &admin.Ruling{Version: c.version}
	asked := 0
	for name, set := range map[string]bool{admin.RulingBlock: c.block, admin.RulingExempt: c.exempt, admin.RulingNone: c.forget} {
		if set {
			r.Ruling = name
			asked++
		}
	}
	switch len(args) {
	case 1:
		r.Fingerprint = args[0]
	case 2:
		r.Service, r.Part = args[0], args[1]
	default:
		return nil, false
	}
	return r, asked == 1
}

func (c *crashersCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 && !c.block && !c.exempt && !c.forget {
		return c.list(ctx)
	}
	ruling, ok := c.ruling(f.Args())
	if !ok {
		fmt.Fprint(c.p.err, c.Usage())
		return ExitUsage
	}
	body, err := json.Marshal(ruling)
	if err != nil {
		return reportCallError(c.p, err)
	}
	r, err := c.c.call(ctx, http.MethodPut, admin.CrashersPath, body, "")
	if err != nil {
		return reportCallError(c.p, err)
	}
	answer := &rulingResult{}
	if err := json.Unmarshal(r.body, &answer.RulingAnswer); err != nil {
		return reportCallError(c.p, fmt.Errorf("%w: status %d", errUnknownOutcome, r.status))
	}
	c.p.print(answer)
	return changeStatus(r.status)
}

func (c *crashersCommand) list(ctx context.Context) subcommands.ExitStatus {
	r, status := c.c.read(ctx, c.p, admin.CrashersPath)
	if r == nil {
		return status
	}
	list := &crashersResult{}
	if err := json.Unmarshal(r.body, &list.Crashers); err != nil {
		return reportCallError(c.p, err)
	}
	c.p.print(list)
	return ExitOK
}
