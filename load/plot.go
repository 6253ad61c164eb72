package load

import (
	"io"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
)

// Plot writes an HTML page with imbalance and open streams over time.
func Plot(w io.Writer, title string, s Summary) error {
	page := components.NewPage()
	page.SetPageTitle(title)
	page.AddCharts(
		lineChart(title+": max/mean of open streams", s.Samples, func(x Sample) float64 { return x.MaxOverMean }),
		lineChart(title+": coefficient of variation", s.Samples, func(x Sample) float64 { return x.CV }),
		lineChart(title+": open streams per slot, summed", s.Samples, func(x Sample) float64 { return x.Open }),
	)
	return page.Render(w)
}

func lineChart(title string, samples []Sample, value func(Sample) float64) *charts.Line {
	line := charts.NewLine()
	line.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: title}),
		charts.WithXAxisOpts(opts.XAxis{Type: "value", Name: "s"}),
		charts.WithYAxisOpts(opts.YAxis{Type: "value"}),
	)
	series := map[string][]opts.LineData{}
	var order []string
	for _, x := range samples {
		if _, ok := series[x.Service]; !ok {
			order = append(order, x.Service)
		}
		series[x.Service] = append(series[x.Service], opts.LineData{Value: []float64{x.AtSeconds, value(x)}})
	}
	for _, name := range order {
		line.AddSeries(name, series[name])
	}
	return line
}
