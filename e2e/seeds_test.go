package e2e

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// seededBox is a daemon that finds the others by seeds; all use the same ports,
// each on a loopback number of its own.
type seededBox struct {
	ip, folder string
	disk       bool
	cmd        *exec.Cmd
}

// seededCluster makes boxes with a disk and others without.
func seededCluster(t *testing.T, disks, others int) []*seededBox {
	var list []*seededBox
	for i := range disks + others {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>8&63, os.Getpid()&255, 100+i)
		b := &seededBox{ip: ip, folder: t.TempDir(), disk: i < disks}
		list = append(list, b)
		t.Cleanup(b.kill)
	}
	return list
}

func (b *seededBox) settingsPath() string { return filepath.Join(b.folder, "box.ini") }

func (b *seededBox) write(t *testing.T, form bool, seeds ...*seededBox) {
	var list []string
	for _, s := range seeds {
		list = append(list, s.ip+":8144")
	}
	roles, data := "entry", ""
	if b.disk {
		roles, data = "control,entry", "[data]\nfolder = "+filepath.Join(b.folder, "data")+"\n"
	}
	text := fmt.Sprintf(`[box]
name = %[1]s
hall = h
roles = %[2]s
[cluster]
name = seeded
seeds = %[3]s
form = %[4]t
voters-need-disks = true
[peer]
listen = %[1]s:7380
[entry]
listen = %[1]s:8149
dialect = platform
ready-listen = %[1]s:8141
[operator]
listen = %[1]s:7395
platform-listen = %[1]s:8144
accept-wait = 600ms
%[5]s`, b.ip, roles, strings.Join(list, ","), form, data)
	if err := os.WriteFile(b.settingsPath(), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (b *seededBox) start(t *testing.T) {
	b.cmd = exec.Command(daemonPath, "run", b.settingsPath())
	log, err := os.OpenFile(filepath.Join(b.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	b.cmd.Stdout, b.cmd.Stderr = log, log
	if err := b.cmd.Start(); err != nil {
		t.Fatal(err)
	}
}

func (b *seededBox) kill() {
	if b.cmd != nil {
		_ = b.cmd.Process.Kill()
		_ = b.cmd.Wait() // it was killed
		b.cmd = nil
	}
}

func (b *seededBox) readBack() string {
	client := &http.Client{Timeout: 3 * time.Second}
	resp, err := client.Get("http://" + b.ip + ":8144/Config.Get")
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}

func (b *seededBox) ready() bool {
	resp, err := http.Get("http://" + b.ip + ":8141/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Trouble-3 of Tabua: SIGHUP ended the daemons; and when all were killed, with
// seeds that name only boxes without a disk, the voters did not find each other and
// the rest found nobody.
func TestAllKilledWithOtherSeeds(t *testing.T) {
	const within = 30 * time.Second
	g := NewWithT(t)
	boxes := seededCluster(t, 3, 3)
	disks, others := boxes[:3], boxes[3:]
	for _, b := range boxes {
		b.write(t, true, disks...)
		b.start(t)
	}
	config := `{"version":7,"routes":[{"name":"r","hostname":"h","path_prefix":"/","timeout_ms":100,"backend":"s"}],"backends":[{"name":"s"}]}`
	apply := func() int {
		resp, err := http.Post("http://"+others[0].ip+":8144/Config.Replace", "application/json", strings.NewReader(config))
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	g.Eventually(apply, within).Should(Equal(http.StatusOK))
	for _, b := range boxes {
		g.Eventually(b.ready, within).Should(BeTrue(), b.ip)
		g.Expect(b.cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
	}
	for _, b := range boxes {
		g.Eventually(b.readBack, within).Should(Equal(config), "%s goes on after SIGHUP", b.ip)
	}
	for _, b := range boxes {
		b.kill()
	}
	for _, b := range boxes {
		b.write(t, false, others...)
		b.start(t)
	}
	for _, b := range boxes {
		g.Eventually(b.readBack, within).Should(Equal(config), b.ip)
		g.Eventually(b.ready, within).Should(BeTrue(), b.ip)
	}
}
