package e2e

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// roleUsage is the mean usage of one box of a role, per second.
type roleUsage struct {
	boxes          int // total boxes in the cluster
	role           string
	bytes          float64 // in and out
	messages       float64 // in and out
	cpu            float64 // percent of a core
	memory         float64 // MiB
	bytesPerChange float64
}

var capacitySizes = []int{3, 7, 11, 19, 35}

const (
	treeSettleTime = 12 * time.Second // until all boxes have returned to their parents in the tree
	idleTime       = 8 * time.Second
	configChanges  = 20
)

// TestCapacity measures what an idle box uses and what a configuration change
// costs it, for five cluster sizes. It writes docs/capacity.csv, docs/capacity.svg
// and the table in docs/CAPACITY.md if CAPACITY_OUT names the folder.
func TestCapacity(t *testing.T) {
	folder := os.Getenv("CAPACITY_OUT")
	if folder == "" {
		t.Skip("CAPACITY_OUT is not set; run make capacity")
	}
	var rows []roleUsage
	for _, boxes := range capacitySizes {
		t.Run(fmt.Sprint(boxes), func(t *testing.T) { rows = append(rows, measureRoles(t, boxes)...) })
	}
	writeResults(t, folder, rows)
	plotResults(t, filepath.Join(folder, "capacity.svg"), rows)
}

func measureRoles(t *testing.T, boxes int) []roleUsage {
	c := newCluster(t, 3, boxes-3)
	c.fleetText = smallFleet
	c.startReady()
	time.Sleep(treeSettleTime)
	leader := c.leader()
	idle := c.usageDuring(idleTime, func() {})
	changed := c.usageDuring(idleTime, func() {
		for i := range configChanges {
			c.boxes[i%boxes].apply(context.Background(), c.fleetFile(2+i, "capacity"), "test")
		}
	})
	var rows []roleUsage
	for _, role := range []string{"leader", "voter", "entry"} {
		names := c.byRole(leader)[role]
		if len(names) == 0 {
			continue
		}
		mean := roleUsage{boxes: boxes, role: role}
		for _, name := range names {
			n := float64(len(names))
			span := idleTime.Seconds()
			mean.bytes += idle[name].bytes / span / n
			mean.messages += idle[name].messages / span / n
			mean.cpu += 100 * idle[name].cpu / span / n
			mean.memory += idle[name].memory / (1 << 20) / n
			mean.bytesPerChange += (changed[name].bytes - idle[name].bytes) / configChanges / n
		}
		rows = append(rows, mean)
	}
	return rows
}

// usageDuring runs f and returns what each box used within span. Memory is the value
// at the end.
func (c *cluster) usageDuring(span time.Duration, f func()) map[string]usage {
	before := c.usages()
	end := time.Now().Add(span)
	f()
	time.Sleep(time.Until(end))
	after := c.usages()
	used := map[string]usage{}
	for name, a := range after {
		b := before[name]
		used[name] = usage{a.bytes - b.bytes, a.messages - b.messages, a.cpu - b.cpu, a.memory}
	}
	return used
}

const (
	tableStart = "<!-- measured: make capacity -->\n"
	tableEnd   = "<!-- end of measured -->\n"
)

func writeResults(t *testing.T, folder string, rows []roleUsage) {
	var csv, table strings.Builder
	csv.WriteString("boxes,role,bytes_per_s,messages_per_s,cpu_percent,memory_mib,bytes_per_change\n")
	table.WriteString("| boxes | role | bytes/s | messages/s | % of a core | MiB | bytes per change |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		fmt.Fprintf(&csv, "%d,%s,%.0f,%.1f,%.2f,%.1f,%.0f\n", r.boxes, r.role, r.bytes, r.messages, r.cpu, r.memory, r.bytesPerChange)
		fmt.Fprintf(&table, "| %d | %s | %.0f | %.1f | %.2f | %.1f | %.0f |\n", r.boxes, r.role, r.bytes, r.messages, r.cpu, r.memory, r.bytesPerChange)
	}
	writeFile(t, filepath.Join(folder, "capacity.csv"), csv.String())
	path := filepath.Join(folder, "CAPACITY.md")
	doc, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	head, rest, ok := strings.Cut(string(doc), tableStart)
	_, tail, ok2 := strings.Cut(rest, tableEnd)
	if !ok || !ok2 {
		t.Fatal("docs/CAPACITY.md is missing the markers around the generated table")
	}
	writeFile(t, path, head+tableStart+table.String()+tableEnd+tail)
}

func writeFile(t *testing.T, path, text string) {
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

func plotResults(t *testing.T, path string, rows []roleUsage) {
	p := plot.New()
	p.Title.Text = "Bytes per second between idle boxes, by role"
	p.X.Label.Text = "boxes"
	p.Y.Label.Text = "bytes/s, in and out"
	var lines []any
	for _, role := range []string{"leader", "voter", "entry"} {
		var xys plotter.XYs
		for _, r := range rows {
			if r.role == role {
				xys = append(xys, plotter.XY{X: float64(r.boxes), Y: r.bytes})
			}
		}
		lines = append(lines, role, xys)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		t.Fatal(err)
	}
	if err := p.Save(8*vg.Inch, 5*vg.Inch, path); err != nil {
		t.Fatal(err)
	}
}
