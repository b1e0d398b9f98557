package bench

import (
	"fmt"
	"testing"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// point is the outcome of one policy, with the label of its point in the plot.
type point struct {
	label string
	outcome
}

// drawCurves writes a plot of attainment against moves, one line per user, as an SVG.
func drawCurves(t testing.TB, path string, curves map[string][]point) {
	p := plot.New()
	p.Title.Text = "Attainment against moves over one day, by move weight"
	p.X.Label.Text = "moves (log scale)"
	p.Y.Label.Text = "attainment"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{}
	var lines []any
	for user, points := range curves {
		xys := make(plotter.XYs, len(points))
		labels := plotter.XYLabels{XYs: xys}
		for i, pt := range points {
			xys[i] = plotter.XY{X: float64(max(pt.moves, 1)), Y: pt.attainment()}
			labels.Labels = append(labels.Labels, pt.label)
		}
		text, err := plotter.NewLabels(labels)
		if err != nil {
			t.Fatal(err)
		}
		p.Add(text)
		lines = append(lines, user, xys)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		t.Fatal(err)
	}
	if err := p.Save(8*vg.Inch, 5*vg.Inch, path); err != nil {
		t.Fatal(fmt.Errorf("%s: %w", path, err))
	}
}
