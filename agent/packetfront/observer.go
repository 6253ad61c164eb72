package packetfront

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/telemetry"
)

// Log field names of the packet front; shared ones stand in package telemetry.
const (
	fieldFlow    = "flow"
	fieldRequest = "request"
	fieldLoad    = "load"
	fieldSlots   = "slots"
	fieldHops    = "hops"
	fieldReason  = "reason"
	fieldLeftOut = "left_out"
	fieldHostID  = "host_id"
)

// Lines a second of each kind; what is above is counted and said with the next
// line of the kind.
const (
	requestLines = 200
	passLines    = 50
	otherLines   = 50
)

// observer logs and counts what the core decides. It is called under the
// front's lock.
type observer struct {
	log *zap.Logger
	now func() time.Time

	requests, passes, other telemetry.Budget

	delivered, requested, waited, passedOn, bounced, resets prometheus.Counter
	drops                                                   map[Drop]prometheus.Counter
	load                                                    prometheus.Histogram
}

func newObserver(log *zap.Logger, reg *prometheus.Registry) *observer {
	f := promauto.With(reg)
	counter := func(name, help string) prometheus.Counter {
		return f.NewCounter(prometheus.CounterOpts{Namespace: "poppywall", Subsystem: "packetagent", Name: name, Help: help})
	}
	o := &observer{
		log: log, now: time.Now,
		requests:  telemetry.Budget{PerSecond: requestLines},
		passes:    telemetry.Budget{PerSecond: passLines},
		other:     telemetry.Budget{PerSecond: otherLines},
		delivered: counter("delivered_packets_total", "Packets handed to the host."),
		requested: counter("requests_total", "Requests whose first packet was handed to the host."),
		waited:    counter("waiting_flows_total", "New flows for which no host had room at once."),
		passedOn:  counter("passed_on_packets_total", "Packets that the agent did not hand to the host."),
		bounced:   counter("bounced_packets_total", "Packets that the host did not take."),
		resets:    counter("reset_flows_total", "Flows reset because their host has ended."),
		drops:     map[Drop]prometheus.Counter{},
		load: f.NewHistogram(prometheus.HistogramOpts{
			Namespace: "poppywall", Subsystem: "packetagent", Name: "load_at_request",
			Help:    "Requests that the host works on or has queued when another one comes.",
			Buckets: []float64{0, 1, 2, 4, 8, 16, 32, 64},
		}),
	}
	drops := f.NewCounterVec(prometheus.CounterOpts{
		Namespace: "poppywall", Subsystem: "packetagent", Name: "dropped_packets_total",
		Help: "Packets dropped, by reason.",
	}, []string{"reason"})
	for _, d := range Drops {
		o.drops[d] = drops.WithLabelValues(string(d))
	}
	return o
}

// line writes one line within a budget.
func (o *observer) line(b *telemetry.Budget, msg string, fields ...zap.Field) {
	left, ok := b.Take(o.now())
	if !ok {
		return
	}
	if left > 0 {
		fields = append(fields, zap.Int(fieldLeftOut, left))
	}
	o.log.Info(msg, fields...)
}

// Delivered implements Events.
func (o *observer) Delivered() { o.delivered.Inc() }

// Request implements Events.
func (o *observer) Request(key flow.Key, requestID []byte, busy, slots int) {
	o.requested.Inc()
	o.load.Observe(float64(busy))
	o.line(&o.requests, "request delivered", zap.Stringer(fieldFlow, key), zap.ByteString(fieldRequest, requestID),
		zap.Int(fieldLoad, busy), zap.Int(fieldSlots, slots))
}

// Waiting implements Events.
func (o *observer) Waiting(key flow.Key, busy, limit int) {
	o.waited.Inc()
	o.line(&o.passes, "new flow waits for room", zap.Stringer(fieldFlow, key), zap.Int(fieldLoad, busy), zap.Int("limit", limit))
}

// PassedOn implements Events.
func (o *observer) PassedOn(key flow.Key, reason string, hops int) {
	o.passedOn.Inc()
	o.line(&o.passes, "new flow passed on", zap.Stringer(fieldFlow, key), zap.String(fieldReason, reason), zap.Int(fieldHops, hops))
}

// Bounced implements Events.
func (o *observer) Bounced(key flow.Key, opening bool) {
	o.bounced.Inc()
	o.line(&o.passes, "packet bounced by host", zap.Stringer(fieldFlow, key), zap.Bool("opening", opening))
}

// Reset implements Events.
func (o *observer) Reset(key flow.Key, reason string) {
	o.resets.Inc()
	o.line(&o.other, "flow reset", zap.Stringer(fieldFlow, key), zap.String(fieldReason, reason))
}

// Dropped implements Events.
func (o *observer) Dropped(reason Drop) {
	o.drops[reason].Inc()
	o.line(&o.other, "packet dropped", zap.String(fieldReason, string(reason)))
}

// HostReport implements Events.
func (o *observer) HostReport(what string, b fleet.Heartbeat) {
	o.log.Info(what, zap.String(fieldHostID, b.HostID), zap.Bool("draining", b.Draining), zap.Int(fieldSlots, b.Slots),
		zap.Duration("warmup", b.WarmupLeft), zap.Uint64("sequence", b.Sequence))
}

// PeerChanged implements Events.
func (o *observer) PeerChanged(ip flow.IPv4, what string) {
	o.log.Info("balancer "+what, zap.Stringer(telemetry.FieldPeer, ip))
}
