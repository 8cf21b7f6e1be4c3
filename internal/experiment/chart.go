package experiment

import (
	"fmt"
	"image/color"
	"math"
	"path/filepath"
	"slices"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// colours is a palette whose colours people with colour blindness can tell apart.
var colours = []color.Color{
	color.RGBA{0x00, 0x72, 0xb2, 0xff}, color.RGBA{0xd5, 0x5e, 0x00, 0xff}, color.RGBA{0x00, 0x9e, 0x73, 0xff},
	color.RGBA{0xcc, 0x79, 0xa7, 0xff}, color.RGBA{0x56, 0xb4, 0xe9, 0xff}, color.RGBA{0xe6, 0x9f, 0x00, 0xff},
	color.RGBA{0x00, 0x00, 0x00, 0xff}, color.RGBA{0x99, 0x99, 0x99, 0xff},
}

// colour returns the colour of the series with an index.
func colour(i int) color.Color { return colours[i%len(colours)] }

// drawChart writes one chart to a folder as SVG.
func (r *Result) drawChart(c *Chart, dir string) error {
	arms := c.Arms
	if len(arms) == 0 {
		arms = r.Order
	}
	metric := c.Metric
	if metric == "" {
		metric = "service"
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, c.X, c.Y
	p.Title.Padding, p.X.Padding, p.Y.Padding = vg.Points(8), vg.Points(4), vg.Points(4)
	p.Legend.Top, p.Legend.XOffs, p.Legend.YOffs = true, vg.Points(-6), vg.Points(-4)
	p.Legend.Padding = vg.Points(2)
	if p.Y.Label.Text == "" {
		p.Y.Label.Text = metric
	}
	width, height := 16*vg.Centimeter, 9*vg.Centimeter
	var err error
	switch c.Kind {
	case "bars":
		width = max(width, vg.Length(len(arms))*2.2*vg.Centimeter)
		err = r.drawBars(p, arms, metric)
	case "line":
		err = r.drawLines(p, arms, metric)
	default:
		err = r.drawTime(p, arms)
	}
	if err != nil {
		return err
	}
	return p.Save(width, height, filepath.Join(dir, c.Name+".svg"))
}

// pointsWithErrors holds points with their confidence intervals.
type pointsWithErrors struct {
	plotter.XYs
	plotter.YErrors
}

// armLabel returns the label of an arm, or its name if the result was read from a folder.
func (r *Result) armLabel(arm string) string {
	if r.source != nil {
		return r.source.Arm(arm).Label
	}
	return arm
}

// drawBars draws a bar with a confidence interval for each arm. If the values differ little, the axis does not begin at
// 0, and its label says so.
func (r *Result) drawBars(p *plot.Plot, arms []string, metric string) error {
	var names []string
	points := pointsWithErrors{}
	low, high := math.Inf(1), math.Inf(-1)
	for i, arm := range arms {
		estimate, ok := r.Arms[arm][metric]
		if !ok {
			return fmt.Errorf("arm %s has no value of metric %s", arm, metric)
		}
		names = append(names, r.armLabel(arm))
		points.XYs = append(points.XYs, plotter.XY{X: float64(i), Y: estimate.Mean})
		points.YErrors = append(points.YErrors,
			struct{ Low, High float64 }{estimate.Mean - estimate.Low, estimate.High - estimate.Mean})
		low, high = min(low, estimate.Low), max(high, estimate.High)
	}
	axisStart := 0.0
	if low > 0 && low > 0.6*high {
		axisStart = low - 0.35*(high-low+0.002*high)
		p.Y.Label.Text += " (axis does not begin at 0)"
	}
	for i, xy := range points.XYs {
		bar, err := plotter.NewPolygon(plotter.XYs{{X: xy.X - 0.32, Y: axisStart}, {X: xy.X + 0.32, Y: axisStart},
			{X: xy.X + 0.32, Y: xy.Y}, {X: xy.X - 0.32, Y: xy.Y}})
		if err != nil {
			return err
		}
		bar.Color, bar.LineStyle.Width = colour(i), 0
		p.Add(bar)
	}
	errorBars, err := plotter.NewYErrorBars(points)
	if err != nil {
		return err
	}
	errorBars.LineStyle.Width, errorBars.CapWidth = vg.Points(1.2), vg.Points(8)
	values := make([]string, len(arms))
	for i := range points.XYs {
		values[i] = strconv.FormatFloat(points.XYs[i].Y, 'f', decimals(metric), 64)
		points.XYs[i].Y += points.YErrors[i].High + 0.02*(high-axisStart)
	}
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: points.XYs, Labels: values})
	if err != nil {
		return err
	}
	for i := range labels.TextStyle {
		labels.TextStyle[i].XAlign = draw.XCenter
	}
	p.Add(errorBars, labels)
	p.Y.Min, p.Y.Max = axisStart, high+0.12*(high-axisStart)
	p.X.Min, p.X.Max = -0.6, float64(len(arms))-0.4
	p.NominalX(names...)
	if len(arms) > 6 {
		p.X.Tick.Label.Rotation = 0.5
		p.X.Tick.Label.XAlign, p.X.Tick.Label.YAlign = draw.XRight, draw.YTop
	}
	return nil
}

// drawLines draws a metric over the numbers in the labels of the arms. Arms whose names are equal up to the last dash
// are joined by one line.
func (r *Result) drawLines(p *plot.Plot, arms []string, metric string) error {
	lines := map[string]*pointsWithErrors{}
	var names []string
	for _, arm := range arms {
		estimate, ok := r.Arms[arm][metric]
		x, err := strconv.ParseFloat(r.armLabel(arm), 64)
		if !ok || err != nil {
			return fmt.Errorf("arm %s: expected a value of %s and a number as label, found label %q", arm, metric,
				r.armLabel(arm))
		}
		name := arm
		for i := len(arm) - 1; i > 0; i-- {
			if arm[i] == '-' {
				name = arm[:i]
				break
			}
		}
		if lines[name] == nil {
			lines[name] = &pointsWithErrors{}
			names = append(names, name)
		}
		lines[name].XYs = append(lines[name].XYs, plotter.XY{X: x, Y: estimate.Mean})
		lines[name].YErrors = append(lines[name].YErrors,
			struct{ Low, High float64 }{estimate.Mean - estimate.Low, estimate.High - estimate.Mean})
	}
	for i, name := range names {
		s := lines[name]
		line, glyphs, err := plotter.NewLinePoints(s.XYs)
		if err != nil {
			return err
		}
		line.Color, line.Width, glyphs.Color, glyphs.Shape = colour(i), vg.Points(1.5), colour(i), draw.CircleGlyph{}
		errorBars, err := plotter.NewYErrorBars(*s)
		if err != nil {
			return err
		}
		errorBars.Color = colour(i)
		p.Add(line, glyphs, errorBars)
		p.Legend.Add(name, line, glyphs)
	}
	p.Y.Min = min(0, p.Y.Min)
	p.Y.Max *= 1.15
	p.Add(plotter.NewGrid())
	return nil
}

// drawTime draws the service of each arm over the time of a run, for all seeds together. A point covers a sixtieth of
// the run, rounded down to whole seconds, but at least one second. Dashed lines mark where the faults of the first arm
// start and end.
func (r *Result) drawTime(p *plot.Plot, arms []string) error {
	p.X.Label.Text = "seconds since the first op"
	if p.Y.Label.Text == "" || p.Y.Label.Text == "service" {
		p.Y.Label.Text = "service"
	}
	low := 1.0
	seconds := 0
	for i, arm := range arms {
		runs := r.runs[r.armIndex(arm)]
		if len(runs) == 0 {
			return fmt.Errorf("arm %s: expected its runs, found none stored", arm)
		}
		var xys plotter.XYs
		seconds = max(seconds, len(runs[0].Windows))
		width := max(1, len(runs[0].Windows)/60)
		for at := 0; at < len(runs[0].Windows); at += width {
			value, earned := 0.0, 0.0
			for _, run := range runs {
				for _, w := range run.Windows[at:min(at+width, len(run.Windows))] {
					value, earned = value+w.Value, earned+w.Earned
				}
			}
			if value > 0 {
				xys = append(xys, plotter.XY{X: float64(at) + float64(width)/2, Y: earned / value})
				low = min(low, earned/value)
			}
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return err
		}
		line.Color, line.Width = colour(i), vg.Points(1.6)
		p.Add(line)
		p.Legend.Add(r.armLabel(arm), line)
	}
	p.Legend.Top, p.Legend.Left = false, false
	p.Legend.YOffs = vg.Points(6)
	axisStart := math.Floor(low*10-0.5) / 10
	p.Y.Min, p.Y.Max, p.X.Min, p.X.Max = max(0, axisStart), 1.005, 0, float64(seconds)
	var marks []float64
	if r.source != nil {
		for _, f := range r.source.Arm(arms[0]).Faults {
			for _, at := range []float64{f.At.Seconds(), (f.At + f.For).Seconds()} {
				if at > 0 && at < float64(seconds) && !slices.Contains(marks, at) {
					marks = append(marks, at)
				}
			}
		}
	}
	for _, at := range marks {
		line, err := plotter.NewLine(plotter.XYs{{X: at, Y: p.Y.Min}, {X: at, Y: p.Y.Max}})
		if err != nil {
			return err
		}
		line.Color, line.Dashes = color.Gray{0x90}, []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(line)
	}
	return nil
}
