package faultbench

import (
	"encoding/json"
	"fmt"
	"image/color"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"rampspread/internal/faultbench/history"
)

// WriteFiles writes the files of a run to a folder: it appends the report to figures.jsonl, and creates a file for the
// history and one for the chart.
func (r *Report) WriteFiles(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	name := fmt.Sprintf("%s-%d-%d", r.Scenario, r.Dispatchers, r.Seed)
	f, err := os.OpenFile(filepath.Join(dir, "figures.jsonl"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	defer f.Close()
	if err := json.NewEncoder(f).Encode(r); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	h, err := os.Create(filepath.Join(dir, name+".history.jsonl"))
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	defer h.Close()
	if err := history.Write(h, r.events); err != nil {
		return err
	}
	return r.chart(filepath.Join(dir, name+".svg"))
}

// chart draws the served share of each second, with the times of the faults in the background.
func (r *Report) chart(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %d dispatchers, seed %d", r.Scenario, r.Dispatchers, r.Seed)
	p.X.Label.Text, p.Y.Label.Text = "s", "served share of the second's worth"
	p.Y.Min, p.Y.Max, p.X.Min, p.X.Max = 0, 1.05, 0, float64(len(r.PerSecond))
	for _, span := range r.faultSpans {
		box, err := plotter.NewPolygon(plotter.XYs{{X: span[0]}, {X: span[0], Y: 1.05}, {X: max(span[1], span[0]+0.1), Y: 1.05}, {X: max(span[1], span[0]+0.1)}})
		if err != nil {
			return fmt.Errorf("chart: %w", err)
		}
		box.Color, box.LineStyle.Width = color.RGBA{255, 200, 200, 255}, 0
		p.Add(box)
	}
	var points plotter.XYs
	for i, y := range r.PerSecond {
		points = append(points, plotter.XY{X: float64(i), Y: y}, plotter.XY{X: float64(i + 1), Y: y})
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	p.Add(line)
	if err := p.Save(16*vg.Centimeter, 8*vg.Centimeter, path); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	return nil
}
