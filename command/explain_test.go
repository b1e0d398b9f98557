package command

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

func TestExplainRequestReadsFiles(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "log")
	line := `{"ts":"2026-12-02T10:00:03Z","msg":"m","box":"b1","request":"r1","outcome":"caller-gone","event":"request-failed"}` + "\n"
	g.Expect(os.WriteFile(file, []byte(line), 0o600)).To(Succeed())
	run := func(args ...string) (int, string, string) {
		var out, errOut bytes.Buffer
		status := Run(args, &out, &errOut)
		return status, out.String(), errOut.String()
	}
	status, out, _ := run("explain-request", "r1", file)
	g.Expect(status).To(BeEquivalentTo(ExitOK))
	g.Expect(out).To(ContainSubstring("caller disconnected"))
	status, out, _ = run("-json", "explain-request", "r1", file)
	g.Expect(status).To(BeEquivalentTo(ExitOK))
	g.Expect(out).To(ContainSubstring(`"outcome": "caller-gone"`))
	status, _, errOut := run("explain-request", "r2", file)
	g.Expect(status).To(BeEquivalentTo(ExitRefused))
	g.Expect(errOut).To(ContainSubstring("b1"))
	status, _, _ = run("explain-request")
	g.Expect(status).To(BeEquivalentTo(ExitUsage))
	status, _, _ = run("explain-request", "r1", file+".missing")
	g.Expect(status).To(BeEquivalentTo(ExitUsage))
}

func TestExplainDayReadsFiles(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "log")
	line := `{"ts":"2026-12-02T10:00:03Z","msg":"m","box":"b1","request":"r1","outcome":"overloaded","route":"r","event":"request-failed","after":0.1}` + "\n"
	g.Expect(os.WriteFile(file, []byte(line), 0o600)).To(Succeed())
	run := func(args ...string) (int, string) {
		var out, errOut bytes.Buffer
		return Run(args, &out, &errOut), out.String()
	}
	status, out := run("explain-day", file)
	g.Expect(status).To(BeEquivalentTo(ExitOK))
	g.Expect(out).To(ContainSubstring("1 requests, 0 in time"))
	status, out = run("-json", "explain-day", file)
	g.Expect(status).To(BeEquivalentTo(ExitOK))
	g.Expect(out).To(ContainSubstring(`"in_time": 0`))
	status, _ = run("explain-day", "-window", "0s", file)
	g.Expect(status).To(BeEquivalentTo(ExitUsage))
	status, _ = run("explain-day", file+".missing")
	g.Expect(status).To(BeEquivalentTo(ExitUsage))
}
