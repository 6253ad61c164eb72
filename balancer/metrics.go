package balancer

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/poppywall/poppywall/forward"
)

type metrics struct {
	toHost, toCaller, newFlows, lost           prometheus.Counter
	drops                                      map[forward.Reason]prometheus.Counter
	socketErrors, exchangeErrors               prometheus.Counter
	repairs, platformPulls, platformPullErrors prometheus.Counter
	malformedRecords                           prometheus.Counter
}

func newMetrics(reg *prometheus.Registry, b *Balancer) *metrics {
	f := promauto.With(reg)
	counter := func(name, help string) prometheus.Counter {
		return f.NewCounter(prometheus.CounterOpts{Namespace: "poppywall", Subsystem: "balancer", Name: name, Help: help})
	}
	m := &metrics{
		toHost:             counter("to_host_datagrams_total", "Datagrams forwarded to agents."),
		toCaller:           counter("to_caller_datagrams_total", "Datagrams forwarded to callers."),
		newFlows:           counter("new_flow_datagrams_total", "Datagrams for which a host was chosen."),
		lost:               counter("lost_datagrams_total", "Datagrams that the kernel did not take."),
		socketErrors:       counter("socket_errors_total", "Service addresses that could not be opened."),
		exchangeErrors:     counter("exchange_errors_total", "Exchanges that failed."),
		repairs:            counter("repairs_total", "Comparisons of directory digests."),
		platformPulls:      counter("platform_pulls_total", "Reads of configuration at the platform."),
		platformPullErrors: counter("platform_pull_errors_total", "Reads of configuration that failed."),
		malformedRecords:   counter("malformed_records_total", "Configuration records passed over."),
		drops:              map[forward.Reason]prometheus.Counter{},
	}
	drops := f.NewCounterVec(prometheus.CounterOpts{
		Namespace: "poppywall", Subsystem: "balancer", Name: "dropped_datagrams_total",
		Help: "Datagrams dropped, by reason.",
	}, []string{"reason"})
	for _, r := range forward.Reasons {
		m.drops[r] = drops.WithLabelValues(string(r))
	}
	registerGauges(f, b)
	return m
}

func registerGauges(f promauto.Factory, b *Balancer) {
	gauge := func(name, help string, read func() float64) {
		f.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "poppywall", Subsystem: "balancer", Name: name, Help: help}, read)
	}
	gauge("configuration_revision", "Revision in force.", func() float64 { return float64(b.Revision()) })
	gauge("directory_entries", "Entries of the directory, tombstones included.", func() float64 {
		b.view.mu.Lock()
		defer b.view.mu.Unlock()
		return float64(b.view.dir.Len())
	})
	gauge("control_sent_bytes", "Bytes sent on control connections.", func() float64 {
		return float64(b.traffic.Sent.Load())
	})
	gauge("control_received_bytes", "Bytes received on control connections.", func() float64 {
		return float64(b.traffic.Received.Load())
	})
}

// countDrops counts n datagrams dropped for a reason.
func (m *metrics) countDrops(r forward.Reason, n int) {
	if c, ok := m.drops[r]; ok {
		c.Add(float64(n))
	}
}
