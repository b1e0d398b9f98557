package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"leverdrum/admin"
	"leverdrum/certs"
	"leverdrum/command"
	"leverdrum/standin"
)

// operator runs the operators' command against all boxes with a certificate.
func (c *cluster) operator(f certs.Files, args ...string) (subcommands.ExitStatus, string) {
	var addresses []string
	for _, b := range c.boxes {
		addresses = append(addresses, b.operator)
	}
	var out, errOut bytes.Buffer
	all := append([]string{"-json", "-box", strings.Join(addresses, ","), "-certificate", f.Certificate, "-key", f.Key, "-authority", f.Authority}, args...)
	status := command.Run(all, &out, &errOut)
	return subcommands.ExitStatus(status), out.String() + errOut.String()
}

// issue writes certificate files, by an authority, for a name.
func issue(t *testing.T, a *standin.Authority, folder, name string) certs.Files {
	t.Helper()
	f, err := a.Issue(folder, name)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// TestWholeDaemonsOverTLS: boxes and operators that have certificates of one
// authority work together, through an exchange of all certificates; a box with
// another's certificate, an operator of another authority and plain text are
// turned away.
func TestWholeDaemonsOverTLS(t *testing.T) {
	g := NewWithT(t)
	home, err := standin.NewAuthority()
	g.Expect(err).NotTo(HaveOccurred())
	c := newCluster(t, 3, 1)
	defer c.dumpLogs()
	c.fleet = smallFleet
	folders := map[string]string{}
	for i, b := range c.boxes {
		name := b.name
		if i == 3 {
			name = "somebody-else"
		}
		folders[b.name] = t.TempDir()
		f := issue(t, home, folders[b.name], name)
		c.own[b.name] = fmt.Sprintf("[tls]\ncertificate = %s\nkey = %s\nauthority = %s\n", f.Certificate, f.Key, f.Authority)
	}
	mine := issue(t, home, t.TempDir(), "operator")
	c.start()
	apply := func(number int) {
		t.Helper()
		path := filepath.Join(t.TempDir(), "fleet.ini")
		g.Expect(os.WriteFile(path, []byte(c.file(number, "tls")), 0o600)).To(Succeed())
		eventually(t, "a file is accepted", 30*time.Second, func() bool {
			status, _ := c.operator(mine, "apply", path)
			return status == command.ExitOK
		})
	}
	apply(1)

	status, _ := c.operator(issueElsewhere(t), "status")
	g.Expect(status).To(Equal(command.ExitUnreachable))
	g.Expect(c.boxes[0].get("/healthz")).NotTo(Equal(200), "plain text is turned away")
	eventually(t, "the box with another's certificate is turned away", 10*time.Second, func() bool {
		m := metricsOver(c.boxes[0], mine)
		return m != "" && !strings.Contains(m, `leverdrum_refusals_total{reason="peer-name"} 0`)
	})
	s := c.statusOver(g, mine)
	g.Expect(s.Boxes).To(HaveLen(3), "it is not listed")

	for _, b := range c.boxes {
		issue(t, home, folders[b.name], b.name)
	}
	eventually(t, "all boxes have taken over the new certificates", 20*time.Second, func() bool {
		for _, b := range c.boxes {
			if !strings.Contains(b.log(), "certificates-taken") {
				return false
			}
		}
		return true
	})
	c.boxes[1].kill() // its sessions begin anew, with the new certificates
	c.boxes[1].start()
	apply(2)
	eventually(t, "the file is in force on all four boxes", 30*time.Second, func() bool {
		s := c.statusOver(g, mine)
		inForce := 0
		for _, row := range s.Boxes {
			if row.State == "in-force" {
				inForce++
			}
		}
		return s.Fleet != nil && s.Fleet.Number == 2 && inForce == 4
	})
}

func issueElsewhere(t *testing.T) certs.Files {
	t.Helper()
	other, err := standin.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return issue(t, other, t.TempDir(), "operator")
}

// metricsOver reads a box's metrics with a certificate, "" without an answer.
func metricsOver(b *boxProc, f certs.Files) string {
	source, err := certs.Open(f, zap.NewNop())
	if err != nil {
		return ""
	}
	transport := &http.Transport{TLSClientConfig: source.Client(b.name)}
	defer transport.CloseIdleConnections()
	client := &http.Client{Timeout: 2 * time.Second, Transport: transport}
	resp, err := client.Get("https://" + b.operator + "/metrics")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return ""
	}
	return string(data)
}

// statusOver reads back with a certificate.
func (c *cluster) statusOver(g *WithT, f certs.Files) admin.Status {
	status, out := c.operator(f, "status")
	s := admin.Status{}
	if status == command.ExitOK {
		g.Expect(json.Unmarshal([]byte(out), &s)).To(Succeed())
	}
	return s
}
