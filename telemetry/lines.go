package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"go.uber.org/zap"
)

// FieldDropped is the log field with the number of lines of the same kind that
// were dropped before this line.
const FieldDropped = "left_out"

// Lines writes rate-limited log lines. It is not safe for concurrent use.
type Lines struct {
	Log *zap.Logger
	Now func() time.Time
}

// Write logs a line at info level if b allows it.
func (l *Lines) Write(b *Budget, msg string, fields ...zap.Field) {
	dropped, ok := b.Take(l.Now())
	if !ok {
		return
	}
	if dropped > 0 {
		fields = append(fields, zap.Int(FieldDropped, dropped))
	}
	l.Log.Info(msg, fields...)
}

// Counters registers the metrics of one subsystem.
type Counters struct {
	Registry  *prometheus.Registry
	Subsystem string
}

const namespace = "poppywall"

// Counter registers a counter.
func (c Counters) Counter(name, help string) prometheus.Counter {
	return promauto.With(c.Registry).NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Subsystem: c.Subsystem, Name: name, Help: help,
	})
}

// Vector registers a counter vector with one label.
func (c Counters) Vector(name, help, label string) *prometheus.CounterVec {
	return promauto.With(c.Registry).NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Subsystem: c.Subsystem, Name: name, Help: help,
	}, []string{label})
}

// Gauge registers a gauge.
func (c Counters) Gauge(name, help string) prometheus.Gauge {
	return promauto.With(c.Registry).NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Subsystem: c.Subsystem, Name: name, Help: help,
	})
}

// GaugeVector registers a gauge vector with one label.
func (c Counters) GaugeVector(name, help, label string) *prometheus.GaugeVec {
	return promauto.With(c.Registry).NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Subsystem: c.Subsystem, Name: name, Help: help,
	}, []string{label})
}

// Histogram registers a histogram.
func (c Counters) Histogram(name, help string, buckets []float64) prometheus.Histogram {
	return promauto.With(c.Registry).NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Subsystem: c.Subsystem, Name: name, Help: help, Buckets: buckets,
	})
}

// ByReason registers a counter vector and returns the counter of each reason, so that
// incrementing one needs no lookup by label value.
func ByReason[R ~string](c Counters, name, help string, reasons []R) map[R]prometheus.Counter {
	vector := c.Vector(name, help, "reason")
	out := make(map[R]prometheus.Counter, len(reasons))
	for _, r := range reasons {
		out[r] = vector.WithLabelValues(string(r))
	}
	return out
}
