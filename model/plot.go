package model

import (
	"io"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
)

// Plot writes an HTML page with a stacked bar chart for each row: the shares of requests in
// time, late, refused and lost in each window.
func Plot(w io.Writer, rows []Row) error {
	page := components.NewPage()
	page.SetPageTitle("what callers got")
	for i := range rows {
		page.AddCharts(outcomeChart(&rows[i]))
	}
	return page.Render(w)
}

func outcomeChart(r *Row) *charts.Bar {
	bar := charts.NewBar()
	p, _ := patternOf(r.Pattern)
	bar.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: r.Pattern + ": " + p.Description, Subtitle: r.Deployment}),
		charts.WithXAxisOpts(opts.XAxis{Name: "s"}),
		charts.WithYAxisOpts(opts.YAxis{Type: "value", Max: 1}),
	)
	seconds := make([]float64, len(r.Windows))
	for i := range seconds {
		seconds[i] = float64(i) * windowLength.Seconds()
	}
	bar.SetXAxis(seconds)
	for _, part := range []struct {
		name string
		of   func(*Count) int
	}{
		{"in time", func(c *Count) int { return c.InTime }},
		{"late", func(c *Count) int { return c.Late }},
		{"refused", func(c *Count) int { return c.Refused }},
		{"lost", func(c *Count) int { return c.Lost }},
	} {
		var data []opts.BarData
		for i := range r.Windows {
			data = append(data, opts.BarData{Value: r.Windows[i].Share(part.of(&r.Windows[i]))})
		}
		bar.AddSeries(part.name, data, charts.WithBarChartOpts(opts.BarChart{Stack: "all"}))
	}
	return bar
}
