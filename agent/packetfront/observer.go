package packetfront

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/poppywall/poppywall/backlog"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/telemetry"
)

// Log field names of the packet front. Package telemetry has those that are shared.
const (
	fieldFlow     = "flow"
	fieldRequest  = "request"
	fieldLoad     = "load"
	fieldSlots    = "slots"
	fieldHops     = "hops"
	fieldReason   = "reason"
	fieldTargetID = "target_id"
	fieldState    = "state"
	fieldCertain  = "certain"
	fieldRecord   = "record"
	fieldStage    = "stage"
)

// Maximum log lines per second of each kind. Further lines are only counted; the next line of
// the kind contains their number.
const (
	requestLinesPerSecond   = 200
	admissionLinesPerSecond = 50
	reportLinesPerSecond    = 20
	otherLinesPerSecond     = 50
	// abandonedLinesPerSecond has a budget of its own, because an overload
	// exhausts admissionLinesPerSecond.
	abandonedLinesPerSecond = 50
	// deniedLinesPerSecond and sentLinesPerSecond have budgets of their own, because a search
	// reaches many agents at the same time.
	deniedLinesPerSecond = 20
	sentLinesPerSecond   = 20
	// expiredLinesPerSecond has a budget of its own, because records that were created together
	// expire together.
	expiredLinesPerSecond = 20
)

// observer logs and counts the events of a Core. It is called with the front's lock held.
type observer struct {
	telemetry.RateLimitedLog

	requests, admissions, reports, other, abandoned, denied, sent, expired telemetry.RateLimit

	delivered, requested, queued, postponed, abandonedInQueue, abandonedAtTarget, passedOn, bounced, resets prometheus.Counter
	failed, ejections, probations, probed, doubted, deniedFlows, sentAfterRefusal                           prometheus.Counter
	refusedReports                                                                                          *prometheus.CounterVec
	dropped                                                                                                 map[DropReason]prometheus.Counter
	withheld                                                                                                map[AbandonReason]prometheus.Counter
	load                                                                                                    prometheus.Histogram
	evacuatedZones                                                                                          *telemetry.ZoneGauges
	expiredFlows                                                                                            *prometheus.CounterVec
	flowRecords                                                                                             prometheus.Gauge
	overloads                                                                                               prometheus.Counter
	overloaded                                                                                              prometheus.Gauge
}

func newObserver(log *zap.Logger, reg *prometheus.Registry) *observer {
	c := telemetry.Metrics{Registry: reg, Subsystem: "packetagent"}
	o := &observer{
		RateLimitedLog:   telemetry.RateLimitedLog{Log: log, Now: time.Now},
		requests:         telemetry.RateLimit{PerSecond: requestLinesPerSecond},
		admissions:       telemetry.RateLimit{PerSecond: admissionLinesPerSecond},
		reports:          telemetry.RateLimit{PerSecond: reportLinesPerSecond},
		other:            telemetry.RateLimit{PerSecond: otherLinesPerSecond},
		abandoned:        telemetry.RateLimit{PerSecond: abandonedLinesPerSecond},
		denied:           telemetry.RateLimit{PerSecond: deniedLinesPerSecond},
		sent:             telemetry.RateLimit{PerSecond: sentLinesPerSecond},
		expired:          telemetry.RateLimit{PerSecond: expiredLinesPerSecond},
		delivered:        c.Counter("delivered_packets_total", "Packets handed to the target."),
		requested:        c.Counter("requests_total", "Requests whose first packet was handed to the target."),
		queued:           c.Counter("waiting_requests_total", "Requests that waited for a slot of the target."),
		postponed:        c.Counter("postponed_flows_total", "New flows left to their client's next opening packet."),
		abandonedInQueue: c.Counter("given_up_requests_total", "Requests that waited until their client had gone."),
		withheld: telemetry.CountersByReason(c, "withheld_requests_total",
			"Requests that came when nobody waited for them any more and were not handed to the target, by reason.", AbandonReasons),
		abandonedAtTarget: c.Counter("unwanted_requests_total", "Requests whose client left while the target had them."),
		passedOn:          c.Counter("passed_on_packets_total", "Packets that the agent did not hand to the target."),
		bounced:           c.Counter("bounced_packets_total", "Packets that the target did not take."),
		resets:            c.Counter("reset_flows_total", "Flows reset because their target has ended."),
		failed:            c.Counter("failed_requests_total", "Requests that the target answered with a failure or a reset."),
		ejections:         c.Counter("ejections_total", "Times that the target was taken out because it fails."),
		probations:        c.Counter("unproven_starts_total", "Starts of a target that had ended unplanned a moment ago."),
		probed:            c.Counter("asked_nodes_total", "Balancers of other zones that were asked because no relay named them any more."),
		doubted:           c.Counter("identity_doubts_total", "Times that the process at the target's address may have become one of another service."),
		deniedFlows:       c.Counter("denied_flows_total", "Packets of open flows that were passed on or returned without being handed to the target."),
		sentAfterRefusal:  c.Counter("sent_after_refusal_total", "Packets of the target that followed a refused connection."),
		dropped:           telemetry.CountersByReason(c, "dropped_packets_total", "Packets dropped, by reason.", DropReasons),
		evacuatedZones:    telemetry.NewZoneGauges(c),
		overloads:         c.Counter("overloads_total", "Times that an overload of the target stood."),
		load: c.Histogram("load_at_request",
			"Requests that the target works on or has queued when another one comes.", []float64{0, 1, 2, 4, 8, 16, 32, 64}),
	}
	o.overloaded = c.Gauge("overloaded", "1 while an overload of the target stands: it takes only what can meet its objective.")
	o.flowRecords = c.Gauge("flow_records", "Records of flows at the agent.")
	o.expiredFlows = c.CounterVector("expired_flows_total", "Records that were removed because of their age although the target may hold the flow, by stage.", fieldStage)
	o.refusedReports = c.CounterVector("refused_reports_total", "Invalid reports, by the field at fault.", "field")
	return o
}

// ReportRefused counts an invalid report.
func (o *observer) ReportRefused(field, fault string) {
	o.refusedReports.WithLabelValues(field).Inc()
	o.Write(&o.other, "report refused", zap.String("field", field), zap.String(fieldReason, fault))
}

// Delivered implements Events.
func (o *observer) Delivered() { o.delivered.Inc() }

// RequestDelivered implements Events.
func (o *observer) RequestDelivered(key flow.Key, requestID []byte, running, slots int, e TargetEvidence) {
	o.requested.Inc()
	o.load.Observe(float64(running))
	o.Write(&o.requests, "request delivered", zap.Stringer(fieldFlow, key), zap.ByteString(fieldRequest, requestID),
		zap.Int(fieldLoad, running), zap.Int(fieldSlots, slots), zap.Inline(e))
}

// Queued implements Events.
func (o *observer) Queued(key flow.Key, requestID []byte, queued int, wait time.Duration) {
	o.queued.Inc()
	o.Write(&o.admissions, "request waits for a slot", zap.Stringer(fieldFlow, key), zap.ByteString(fieldRequest, requestID),
		zap.Int("held", queued), zap.Duration("wait", wait))
}

// Postponed implements Events.
func (o *observer) Postponed(key flow.Key, wait time.Duration) {
	o.postponed.Inc()
	o.Write(&o.admissions, "new flow postponed", zap.Stringer(fieldFlow, key), zap.Duration("wait", wait))
}

// AbandonedInQueue implements Events.
func (o *observer) AbandonedInQueue(key flow.Key, waited time.Duration) {
	o.abandonedInQueue.Inc()
	o.Write(&o.abandoned, "queued request abandoned", zap.Stringer(fieldFlow, key), zap.Duration("waited", waited))
}

// Withheld implements Events.
func (o *observer) Withheld(key flow.Key, requestID []byte, reason AbandonReason) {
	o.withheld[reason].Inc()
	o.Write(&o.abandoned, "request withheld", zap.Stringer(fieldFlow, key), zap.ByteString(fieldRequest, requestID),
		zap.String(fieldReason, string(reason)))
}

// AbandonedAtTarget implements Events.
func (o *observer) AbandonedAtTarget(key flow.Key, after time.Duration) {
	o.abandonedAtTarget.Inc()
	o.Write(&o.abandoned, "running request abandoned", zap.Stringer(fieldFlow, key), zap.Duration("had", after))
}

// PassedOn implements Events.
func (o *observer) PassedOn(key flow.Key, reason string, hops int) {
	o.passedOn.Inc()
	o.Write(&o.admissions, "new flow passed on", zap.Stringer(fieldFlow, key), zap.String(fieldReason, reason), zap.Int(fieldHops, hops))
}

// Bounced implements Events.
func (o *observer) Bounced(key flow.Key, opening bool) {
	o.bounced.Inc()
	o.Write(&o.admissions, "packet bounced by target", zap.Stringer(fieldFlow, key), zap.Bool("opening", opening))
}

// Reset implements Events.
func (o *observer) Reset(key flow.Key, reason string, e TargetEvidence) {
	o.resets.Inc()
	o.Write(&o.other, "flow reset", zap.Stringer(fieldFlow, key), zap.String(fieldReason, reason), zap.Inline(e))
}

// FlowDenied implements Events.
func (o *observer) FlowDenied(key flow.Key, record string, certain bool, hops int, e TargetEvidence) {
	o.deniedFlows.Inc()
	o.Write(&o.denied, "open flow denied", zap.Stringer(fieldFlow, key), zap.String(fieldRecord, record), zap.Bool(fieldCertain, certain), zap.Int(fieldHops, hops), zap.Inline(e))
}

// FlowExpired implements Events.
func (o *observer) FlowExpired(key flow.Key, stage string, idle time.Duration) {
	o.expiredFlows.WithLabelValues(stage).Inc()
	o.Write(&o.expired, "flow record expired", zap.Stringer(fieldFlow, key), zap.String(fieldStage, stage), zap.Duration("idle", idle))
}

// FlowsRecorded implements Events.
func (o *observer) FlowsRecorded(records int) { o.flowRecords.Set(float64(records)) }

// SentAfterRefusal implements Events.
func (o *observer) SentAfterRefusal(key flow.Key, bounced bool, e TargetEvidence) {
	o.sentAfterRefusal.Inc()
	o.Write(&o.sent, "target sent a packet after it refused a connection", zap.Stringer(fieldFlow, key), zap.Bool("bounced", bounced), zap.Inline(e))
}

// MarshalLogObject implements zapcore.ObjectMarshaler. Events that have not happened are left
// out.
func (e TargetEvidence) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString(fieldState, e.State.String())
	if e.SinceProbe >= 0 {
		enc.AddString("last_probe", e.LastProbe.String())
	}
	addAge(enc, "since_report", e.SinceReport)
	addAge(enc, "since_probe", e.SinceProbe)
	addAge(enc, "since_sent", e.SinceSent)
	addAge(enc, "since_refused", e.SinceRefused)
	addAge(enc, "since_deregistered", e.SinceDeregistered)
	return nil
}

func addAge(enc zapcore.ObjectEncoder, field string, age time.Duration) {
	if age >= 0 {
		enc.AddDuration(field, age)
	}
}

// Dropped implements Events.
func (o *observer) Dropped(reason DropReason) {
	o.dropped[reason].Inc()
	o.Write(&o.other, "packet dropped", zap.String(fieldReason, string(reason)))
}

// TargetReport implements Events.
func (o *observer) TargetReport(what string, b fleet.Heartbeat) {
	o.Write(&o.reports, what, zap.String(fieldTargetID, b.TargetID), zap.Int64("born", b.StartedMillis), zap.Bool("draining", b.Draining), zap.Int(fieldSlots, b.Slots),
		zap.Duration("warmup", b.WarmupLeft), zap.Uint64("sequence", b.Sequence))
}

// IdentityDoubted implements Events.
func (o *observer) IdentityDoubted(reason string, last fleet.Heartbeat) {
	o.doubted.Inc()
	o.Write(&o.reports, "target may be of another service", zap.String(fieldReason, reason), zap.String(fieldTargetID, last.TargetID), zap.Uint64("sequence", last.Sequence))
}

// RequestFailed implements Events.
func (o *observer) RequestFailed() { o.failed.Inc() }

// Ejected implements Events.
func (o *observer) Ejected(ejected bool, trials, failures int) {
	if !ejected {
		o.Log.Info("target back after ejection")
		return
	}
	o.ejections.Inc()
	o.Log.Warn("target ejected", zap.Int("trials", trials), zap.Int("failures", failures))
}

// OnProbation implements Events.
func (o *observer) OnProbation(crashes int, probation time.Duration) {
	o.probations.Inc()
	o.Write(&o.reports, "target restarted, on probation", zap.Int("ends", crashes), zap.Duration("proof", probation))
}

// OverloadChanged implements Events.
func (o *observer) OverloadChanged(active bool, load backlog.Load, queued int, wait time.Duration) {
	msg := "overload has ended"
	o.overloaded.Set(0)
	if active {
		msg = "overload stands"
		o.overloaded.Set(1)
		o.overloads.Inc()
	}
	o.Log.Info(msg, zap.Float64("arrived_per_s", load.Arrived), zap.Float64("answered_per_s", load.Answered),
		zap.Float64("full", load.FullShare), zap.Duration("behind", load.Lag), zap.Duration("lasted", load.BacklogAge), zap.Int("held", queued), zap.Duration("wait", wait))
}

// OtherVersion implements Events.
func (o *observer) OtherVersion(from flow.IPv4, version uint8) {
	o.dropped[DropVersion].Inc()
	o.Write(&o.other, "datagram of another version dropped", zap.Stringer(telemetry.FieldPeer, from), zap.Uint8("version", version))
}

// PeerChanged implements Events.
func (o *observer) PeerChanged(ip flow.IPv4, change string) {
	o.Log.Info("balancer "+change, zap.Stringer(telemetry.FieldPeer, ip))
}

// EvacuationsChanged implements Events.
func (o *observer) EvacuationsChanged(current, previous flow.Evacuations, from string) {
	o.evacuatedZones.Update(o.Log, current.Zones(), previous.Zones(), current.Revision, from)
}

// ZoneRelayed implements Events.
func (o *observer) ZoneRelayed(zone flow.Tag, balancers int, relayed bool) {
	o.Log.Info("relaying to another zone changed", zap.Uint64("zone_tag", uint64(zone)), zap.Int("balancers", balancers), zap.Bool("relayed", relayed))
}

// NodeProbed implements Events.
func (o *observer) NodeProbed(ip flow.IPv4, sinceLastSeen time.Duration) {
	o.probed.Inc()
	o.Write(&o.other, "relayed messages of a node stopped, probing it", zap.Stringer(telemetry.FieldPeer, ip), zap.Duration("silent", sinceLastSeen))
}
