package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of plots.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// writeSeconds writes the outcomes of each second as CSV and as a plot, as configured.
func writeSeconds(cfg MoveConfig, seconds []secondStats) error {
	if cfg.HistoryCSV != "" {
		if err := writeCSV(cfg.HistoryCSV, seconds); err != nil {
			return err
		}
	}
	if cfg.PlotFile == "" {
		return nil
	}
	return plotSeconds(cfg, seconds)
}

func writeCSV(file string, seconds []secondStats) error {
	var b strings.Builder
	b.WriteString("second,answered,late,refused,failed,first_token_p95_ms\n")
	for i, s := range seconds {
		p95 := float64(latencyQuantile(s.firstToken, 0.95)) / float64(time.Millisecond)
		fmt.Fprintf(&b, "%d,%d,%d,%d,%d,%.1f\n", i, s.answered, s.late, s.refused, s.failed, p95)
	}
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return errors.Wrap(err, "create directory of the CSV file")
	}
	return errors.Wrap(os.WriteFile(file, []byte(b.String()), 0o644), "write CSV file")
}

// plotSeconds draws answered, late, refused and failed requests per second.
func plotSeconds(cfg MoveConfig, seconds []secondStats) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("A data centre leaves at %s and returns at %s", cfg.DrainAt, cfg.RestoreAt)
	p.X.Label.Text = "time of the request (s)"
	p.Y.Label.Text = "requests per second; p95 of the first token (ms)"
	var answered, late, refused, failed, first plotter.XYs
	for i, s := range seconds {
		x := float64(i)
		answered = append(answered, plotter.XY{X: x, Y: float64(s.answered)})
		late = append(late, plotter.XY{X: x, Y: float64(s.late)})
		refused = append(refused, plotter.XY{X: x, Y: float64(s.refused)})
		failed = append(failed, plotter.XY{X: x, Y: float64(s.failed)})
		first = append(first, plotter.XY{X: x, Y: float64(latencyQuantile(s.firstToken, 0.95)) / float64(time.Millisecond)})
	}
	err := plotutil.AddLines(p, "answered", answered, "late", late, "refused", refused, "failed", failed, "first token p95 (ms)", first)
	if err != nil {
		return errors.Wrap(err, "add lines to the plot")
	}
	p.Legend.Top = true
	if err := os.MkdirAll(filepath.Dir(cfg.PlotFile), 0o755); err != nil {
		return errors.Wrap(err, "create directory of the plot")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, cfg.PlotFile), "save plot")
}
