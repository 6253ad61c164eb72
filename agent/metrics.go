package agent

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/poppywall/poppywall/verdict"
)

// dropReason is the label value of the counter of dropped datagrams.
type dropReason string

const (
	dropBadHeader         dropReason = "bad_header"
	dropBadKind           dropReason = "bad_kind"
	dropNotQUIC           dropReason = "not_quic"
	dropWrongService      dropReason = "wrong_service"
	dropFormerIncarnation dropReason = "former_incarnation"
	dropQueueFull         dropReason = "queue_full"
	dropNoBalancer        dropReason = "no_balancer"
)

var dropReasons = []dropReason{
	dropBadHeader, dropBadKind, dropNotQUIC, dropWrongService, dropFormerIncarnation, dropQueueFull, dropNoBalancer,
}

type metrics struct {
	drops           map[dropReason]prometheus.Counter
	refusedFlows    prometheus.Counter
	resets          prometheus.Counter
	heartbeatErrors prometheus.Counter
	refutations     prometheus.Counter
	requests        *prometheus.CounterVec
	duration        *prometheus.HistogramVec
}

func newMetrics(reg *prometheus.Registry, a *Agent) *metrics {
	f := promauto.With(reg)
	counter := func(name, help string) prometheus.Counter {
		return f.NewCounter(prometheus.CounterOpts{Namespace: "poppywall", Subsystem: "agent", Name: name, Help: help})
	}
	m := &metrics{
		drops:           map[dropReason]prometheus.Counter{},
		refusedFlows:    counter("refused_flows_total", "New flows handed back to balancers."),
		resets:          counter("stateless_resets_total", "Stateless resets sent for former incarnations."),
		heartbeatErrors: counter("heartbeat_errors_total", "Heartbeats that got no answer."),
		refutations:     counter("refutations_total", "Claims against this host that it refuted."),
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Namespace: "poppywall", Subsystem: "agent", Name: "requests_total",
			Help: "Requests by service, workspace, verdict and status.",
		}, []string{"service", "workspace", "verdict", "status"}),
		duration: f.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "poppywall", Subsystem: "agent", Name: "request_seconds",
			Help:    "Time from a request's arrival to the end of its answer, by service and workspace.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"service", "workspace"}),
	}
	drops := f.NewCounterVec(prometheus.CounterOpts{
		Namespace: "poppywall", Subsystem: "agent", Name: "dropped_datagrams_total",
		Help: "Datagrams dropped, by reason.",
	}, []string{"reason"})
	for _, r := range dropReasons {
		m.drops[r] = drops.WithLabelValues(string(r))
	}
	f.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "poppywall", Subsystem: "agent", Name: "open_connections", Help: "Open QUIC connections.",
	}, func() float64 { return float64(a.openConnections()) })
	f.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "poppywall", Subsystem: "agent", Name: "configuration_revision", Help: "Revision in force.",
	}, a.revision)
	return m
}

func (a *Agent) revision() float64 {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	return float64(a.state.catalog.InForce())
}

func (m *metrics) drop(r dropReason) { m.drops[r].Inc() }

func (m *metrics) observe(service, workspace string, v verdict.Verdict, status int, took time.Duration) {
	m.requests.WithLabelValues(service, workspace, v.String(), strconv.Itoa(status)).Inc()
	m.duration.WithLabelValues(service, workspace).Observe(took.Seconds())
}
