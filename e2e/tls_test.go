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

// runOperator runs the operators' command against all boxes with a client certificate.
func (c *cluster) runOperator(f certs.Files, args ...string) (subcommands.ExitStatus, string) {
	var addresses []string
	for _, b := range c.boxes {
		addresses = append(addresses, b.operator)
	}
	var out, errOut bytes.Buffer
	all := append([]string{"-json", "-box", strings.Join(addresses, ","), "-certificate", f.Certificate, "-key", f.Key, "-authority", f.Authority}, args...)
	status := command.Run(all, &out, &errOut)
	return subcommands.ExitStatus(status), out.String() + errOut.String()
}

// issueFiles issues a certificate for the name and writes its files to the folder.
func issueFiles(t *testing.T, a *standin.Authority, folder, name string) certs.Files {
	t.Helper()
	f, err := a.Issue(folder, name)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// TestDaemonsOverTLS checks that boxes and operators with certificates of one authority
// work together, also while all certificates are replaced. A box with a certificate for
// another name, an operator with a certificate of another authority and plaintext
// connections must be rejected.
func TestDaemonsOverTLS(t *testing.T) {
	g := NewWithT(t)
	authority, err := standin.NewAuthority()
	g.Expect(err).NotTo(HaveOccurred())
	c := newCluster(t, 3, 1)
	defer c.dumpLogs()
	c.fleetText = smallFleet
	folders := map[string]string{}
	for i, b := range c.boxes {
		name := b.name
		if i == 3 {
			name = "somebody-else"
		}
		folders[b.name] = t.TempDir()
		f := issueFiles(t, authority, folders[b.name], name)
		c.boxSettings[b.name] = fmt.Sprintf("[tls]\ncertificate = %s\nkey = %s\nauthority = %s\n", f.Certificate, f.Key, f.Authority)
	}
	operatorFiles := issueFiles(t, authority, t.TempDir(), "operator")
	c.start()
	apply := func(number int) {
		t.Helper()
		path := filepath.Join(t.TempDir(), "fleet.ini")
		g.Expect(os.WriteFile(path, []byte(c.fleetFile(number, "tls")), 0o600)).To(Succeed())
		eventually(t, "a file is accepted", 30*time.Second, func() bool {
			status, _ := c.runOperator(operatorFiles, "apply", path)
			return status == command.ExitOK
		})
	}
	apply(1)

	status, _ := c.runOperator(issueByOtherAuthority(t), "status")
	g.Expect(status).To(Equal(command.ExitUnreachable))
	g.Expect(c.boxes[0].get("/healthz")).NotTo(Equal(200), "plaintext must be rejected")
	eventually(t, "the box with a certificate for another name is rejected", 10*time.Second, func() bool {
		metrics := metricsWith(c.boxes[0], operatorFiles)
		return metrics != "" && !strings.Contains(metrics, `leverdrum_refusals_total{reason="peer-name"} 0`)
	})
	s := c.statusWith(g, operatorFiles)
	g.Expect(s.Boxes).To(HaveLen(3), "the rejected box must not be listed")

	for _, b := range c.boxes {
		issueFiles(t, authority, folders[b.name], b.name)
	}
	eventually(t, "all boxes have loaded the new certificates", 20*time.Second, func() bool {
		for _, b := range c.boxes {
			if !strings.Contains(b.log(), "certificates-taken") {
				return false
			}
		}
		return true
	})
	c.boxes[1].kill() // its sessions restart with the new certificates
	c.boxes[1].start()
	apply(2)
	eventually(t, "the file is active on all four boxes", 30*time.Second, func() bool {
		s := c.statusWith(g, operatorFiles)
		inForce := 0
		for _, row := range s.Boxes {
			if row.State == "in-force" {
				inForce++
			}
		}
		return s.Fleet != nil && s.Fleet.Number == 2 && inForce == 4
	})
}

// issueByOtherAuthority issues an operator certificate from an authority that the boxes do
// not trust.
func issueByOtherAuthority(t *testing.T) certs.Files {
	t.Helper()
	other, err := standin.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return issueFiles(t, other, t.TempDir(), "operator")
}

// metricsWith reads a box's metrics with a client certificate; "" if there was no answer.
func metricsWith(b *boxProcess, f certs.Files) string {
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

// statusWith reads the status with a client certificate; it is empty if no box answers.
func (c *cluster) statusWith(g *WithT, f certs.Files) admin.Status {
	status, out := c.runOperator(f, "status")
	s := admin.Status{}
	if status == command.ExitOK {
		g.Expect(json.Unmarshal([]byte(out), &s)).To(Succeed())
	}
	return s
}
