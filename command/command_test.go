package command_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"leverdrum/command"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operators' command")
}

func run(args ...string) (status int, out, errOut string) {
	var o, e bytes.Buffer
	status = command.Run(args, &o, &e)
	return status, o.String(), e.String()
}

var _ = Describe("the operators' command", func() {
	DescribeTable("accepts the example fleet files and counts their contents",
		func(file string, servers, models, adapters, instances int) {
			status, out, _ := run("-json", "check", filepath.Join("..", "examples", file))
			Expect(status).To(BeZero())
			var r command.CheckResult
			Expect(json.Unmarshal([]byte(out), &r)).To(Succeed())
			Expect([]int{r.Servers, r.Models, r.Adapters, r.Instances}).To(Equal([]int{servers, models, adapters, instances}))
		},
		Entry("Bücherbrücke", "buecherbruecke.ini", 20, 40, 90, 4),
		Entry("Tabua", "tabua.ini", 20, 35, 100, 3),
	)

	It("lists the faults of a file and exits 1", func() {
		file := filepath.Join(GinkgoT().TempDir(), "f.ini")
		Expect(os.WriteFile(file, []byte("[fleet]\nnumbr = 1\n"), 0o600)).To(Succeed())
		status, out, _ := run("check", file)
		Expect(status).To(Equal(1))
		Expect(out).To(ContainSubstring("[fleet] numbr: unknown key (allowed: number,"))
		Expect(out).To(ContainSubstring("[fleet] number: the key is missing"))
		Expect(out).To(ContainSubstring("2 faults"))
	})

	DescribeTable("returns the documented exit status",
		func(want int, args ...string) {
			status, _, _ := run(args...)
			Expect(status).To(Equal(want))
		},
		Entry("a missing file", 1, "check", "no-such-file"),
		Entry("no file argument", 2, "check"),
		Entry("an unknown subcommand", 2, "frobnicate"),
		Entry("an unknown flag", 2, "-x", "check", "f"),
		Entry("no box address", 3, "show"),
		Entry("an unreachable box", 3, "-box", "127.0.0.1:1", "status"),
		Entry("an apply that reached no box", 3, "-box", "127.0.0.1:1", "apply", "../examples/tabua.ini"),
	)

	DescribeTable("generates the checked-in reference pages (make docs)",
		func(name, file string) {
			page, ok := command.Page(name)
			Expect(ok).To(BeTrue())
			data, err := os.ReadFile(filepath.Join("..", "docs", file))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(data)).To(Equal(page))
		},
		Entry(nil, "reasons", "REASONS.md"), Entry(nil, "metrics", "METRICS.md"), Entry(nil, "events", "EVENTS.md"),
		Entry(nil, "settings", "SETTINGS.md"), Entry(nil, "fleet", "FLEET.md"),
	)
})
