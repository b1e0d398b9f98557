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

// rates is what the boxes of one role spend a second, each.
type rates struct {
	boxes          int // in all
	role           string
	bytes          float64 // in and out
	messages       float64 // in and out
	cpu            float64 // percent of a core
	memory         float64 // MiB
	bytesPerChange float64
}

var capacitySizes = []int{3, 7, 11, 19, 35}

const (
	settleTree = 12 * time.Second // until all have gone back to the tree's parents
	restSpan   = 8 * time.Second
	changes    = 20
)

// TestCapacity measures what a box spends at rest and for a change of the
// configuration, for five counts of boxes, and writes docs/capacity.csv,
// docs/capacity.svg and the table in docs/CAPACITY.md when CAPACITY_OUT names
// the folder.
func TestCapacity(t *testing.T) {
	folder := os.Getenv("CAPACITY_OUT")
	if folder == "" {
		t.Skip("CAPACITY_OUT names no folder; make capacity does")
	}
	var rows []rates
	for _, boxes := range capacitySizes {
		t.Run(fmt.Sprint(boxes), func(t *testing.T) { rows = append(rows, measureBoxes(t, boxes)...) })
	}
	writeRows(t, folder, rows)
	drawRows(t, filepath.Join(folder, "capacity.svg"), rows)
}

func measureBoxes(t *testing.T, boxes int) []rates {
	c := newCluster(t, 3, boxes-3)
	c.fleet = smallFleet
	c.up()
	time.Sleep(settleTree)
	leader := c.leader()
	rest := c.spend(restSpan, func() {})
	applied := c.spend(restSpan, func() {
		for i := range changes {
			c.boxes[i%boxes].apply(context.Background(), c.file(2+i, "capacity"), "test")
		}
	})
	var rows []rates
	for _, role := range []string{"leader", "voter", "entry"} {
		names := c.byRole(leader)[role]
		if len(names) == 0 {
			continue
		}
		r := rates{boxes: boxes, role: role}
		for _, name := range names {
			n := float64(len(names))
			span := restSpan.Seconds()
			r.bytes += rest[name].bytes / span / n
			r.messages += rest[name].messages / span / n
			r.cpu += 100 * rest[name].cpu / span / n
			r.memory += rest[name].memory / (1 << 20) / n
			r.bytesPerChange += (applied[name].bytes - rest[name].bytes) / changes / n
		}
		rows = append(rows, r)
	}
	return rows
}

// spend returns what each box spent in a span during which f ran; memory is as
// it was at the end.
func (c *cluster) spend(span time.Duration, f func()) map[string]cost {
	before := c.costs()
	end := time.Now().Add(span)
	f()
	time.Sleep(time.Until(end))
	after := c.costs()
	spent := map[string]cost{}
	for name, a := range after {
		b := before[name]
		spent[name] = cost{a.bytes - b.bytes, a.messages - b.messages, a.cpu - b.cpu, a.memory}
	}
	return spent
}

const (
	tableBegins = "<!-- measured: make capacity -->\n"
	tableEnds   = "<!-- end of measured -->\n"
)

func writeRows(t *testing.T, folder string, rows []rates) {
	var csv, table strings.Builder
	csv.WriteString("boxes,role,bytes_per_s,messages_per_s,cpu_percent,memory_mib,bytes_per_change\n")
	table.WriteString("| boxes | role | bytes/s | messages/s | % of a core | MiB | bytes a change |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		fmt.Fprintf(&csv, "%d,%s,%.0f,%.1f,%.2f,%.1f,%.0f\n", r.boxes, r.role, r.bytes, r.messages, r.cpu, r.memory, r.bytesPerChange)
		fmt.Fprintf(&table, "| %d | %s | %.0f | %.1f | %.2f | %.1f | %.0f |\n", r.boxes, r.role, r.bytes, r.messages, r.cpu, r.memory, r.bytesPerChange)
	}
	write(t, filepath.Join(folder, "capacity.csv"), csv.String())
	path := filepath.Join(folder, "CAPACITY.md")
	page, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	head, rest, ok := strings.Cut(string(page), tableBegins)
	_, tail, ok2 := strings.Cut(rest, tableEnds)
	if !ok || !ok2 {
		t.Fatal("docs/CAPACITY.md lacks the marks of the measured table")
	}
	write(t, path, head+tableBegins+table.String()+tableEnds+tail)
}

func write(t *testing.T, path, text string) {
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

func drawRows(t *testing.T, path string, rows []rates) {
	p := plot.New()
	p.Title.Text = "Bytes a second between boxes at rest, by role"
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
