package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"go.uber.org/zap"
)

// FieldLeftOut says how many lines of a kind were left out before a line.
const FieldLeftOut = "left_out"

// Lines writes log lines within budgets. It is not safe for concurrent use.
type Lines struct {
	Log *zap.Logger
	Now func() time.Time
}

// Write writes one line if its kind's budget allows it.
func (l *Lines) Write(b *Budget, msg string, fields ...zap.Field) {
	left, ok := b.Take(l.Now())
	if !ok {
		return
	}
	if left > 0 {
		fields = append(fields, zap.Int(FieldLeftOut, left))
	}
	l.Log.Info(msg, fields...)
}

// Counters makes the counters of one subsystem.
type Counters struct {
	Registry  *prometheus.Registry
	Subsystem string
}

const namespace = "poppywall"

// Counter returns a new counter.
func (c Counters) Counter(name, help string) prometheus.Counter {
	return promauto.With(c.Registry).NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Subsystem: c.Subsystem, Name: name, Help: help,
	})
}

// Vector returns a new vector of counters with one label.
func (c Counters) Vector(name, help, label string) *prometheus.CounterVec {
	return promauto.With(c.Registry).NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Subsystem: c.Subsystem, Name: name, Help: help,
	}, []string{label})
}

// Gauge returns a new gauge.
func (c Counters) Gauge(name, help string) prometheus.Gauge {
	return promauto.With(c.Registry).NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Subsystem: c.Subsystem, Name: name, Help: help,
	})
}

// GaugeVector returns a new vector of gauges with one label.
func (c Counters) GaugeVector(name, help, label string) *prometheus.GaugeVec {
	return promauto.With(c.Registry).NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Subsystem: c.Subsystem, Name: name, Help: help,
	}, []string{label})
}

// Histogram returns a new histogram.
func (c Counters) Histogram(name, help string, buckets []float64) prometheus.Histogram {
	return promauto.With(c.Registry).NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Subsystem: c.Subsystem, Name: name, Help: help, Buckets: buckets,
	})
}

// ByReason returns a counter for each reason, so that counting one looks nothing
// up by its text.
func ByReason[R ~string](c Counters, name, help string, reasons []R) map[R]prometheus.Counter {
	vector := c.Vector(name, help, "reason")
	out := make(map[R]prometheus.Counter, len(reasons))
	for _, r := range reasons {
		out[r] = vector.WithLabelValues(string(r))
	}
	return out
}
