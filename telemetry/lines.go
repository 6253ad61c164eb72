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

// RateLimitedLog writes rate-limited log lines. It is not safe for concurrent use.
type RateLimitedLog struct {
	Log *zap.Logger
	Now func() time.Time
}

// Write logs a line at info level if limit allows it.
func (l *RateLimitedLog) Write(limit *RateLimit, msg string, fields ...zap.Field) {
	dropped, ok := limit.Allow(l.Now())
	if !ok {
		return
	}
	if dropped > 0 {
		fields = append(fields, zap.Int(FieldDropped, dropped))
	}
	l.Log.Info(msg, fields...)
}

// Metrics registers the metrics of one subsystem.
type Metrics struct {
	Registry  *prometheus.Registry
	Subsystem string
}

const namespace = "poppywall"

// Counter registers a counter.
func (c Metrics) Counter(name, help string) prometheus.Counter {
	return promauto.With(c.Registry).NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Subsystem: c.Subsystem, Name: name, Help: help,
	})
}

// CounterVector registers a counter vector with one label.
func (c Metrics) CounterVector(name, help, label string) *prometheus.CounterVec {
	return promauto.With(c.Registry).NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Subsystem: c.Subsystem, Name: name, Help: help,
	}, []string{label})
}

// Gauge registers a gauge.
func (c Metrics) Gauge(name, help string) prometheus.Gauge {
	return promauto.With(c.Registry).NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Subsystem: c.Subsystem, Name: name, Help: help,
	})
}

// GaugeVector registers a gauge vector with one label.
func (c Metrics) GaugeVector(name, help, label string) *prometheus.GaugeVec {
	return promauto.With(c.Registry).NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Subsystem: c.Subsystem, Name: name, Help: help,
	}, []string{label})
}

// Histogram registers a histogram.
func (c Metrics) Histogram(name, help string, buckets []float64) prometheus.Histogram {
	return promauto.With(c.Registry).NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Subsystem: c.Subsystem, Name: name, Help: help, Buckets: buckets,
	})
}

// CountersByReason registers a counter vector and returns the counter of each reason, so that
// incrementing one needs no lookup by label value.
func CountersByReason[R ~string](c Metrics, name, help string, reasons []R) map[R]prometheus.Counter {
	vector := c.CounterVector(name, help, "reason")
	out := make(map[R]prometheus.Counter, len(reasons))
	for _, r := range reasons {
		out[r] = vector.WithLabelValues(string(r))
	}
	return out
}
