package packetfront

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/balancer/search"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/telemetry"
)

// subsystem is the prefix of the metric names.
const subsystem = "packetfront"

// Log field names of the packet front. Package telemetry has those that are shared.
const (
	fieldFlow           = "flow"
	fieldRoute          = "route"
	fieldTarget         = "target"
	fieldLoadReportAge  = "reading_age_ms"
	fieldLoad           = "load"
	fieldSlots          = "slots"
	fieldFlowsSent      = "sent_since"
	fieldAnswerInterval = "each_us"
	fieldExpectedDelay  = "expected_ms"
	fieldCrossZone      = "other_zone"
	fieldCandidates     = "candidates"
	fieldRetransmission = "copy"
	fieldHops           = "hops"
	fieldReason         = "reason"
	fieldState          = "state"
	fieldRound          = "round"
	fieldProbes         = "probes"
	fieldCertain        = "certain"
)

// Maximum log lines per second of each kind. Further lines are only counted; the next line
// of the kind contains their number.
const (
	openLinesPerSecond   = 200
	searchLinesPerSecond = 50
	returnLinesPerSecond = 50
	otherLinesPerSecond  = 50
	changeLinesPerSecond = 20
)

// observer logs and counts the events of a Core. It is called with the front's lock
// held.
type observer struct {
	telemetry.RateLimitedLog

	opening, searching, returns, other, changes telemetry.RateLimit

	forwarded, opened, refused, searches, ownersFound prometheus.Counter
	unanswered, recordsReturned                       prometheus.Counter
	overloads                                         *prometheus.CounterVec
	lost                                              *prometheus.CounterVec
	dropped                                           map[DropReason]prometheus.Counter
	buffered                                          map[BufferReason]prometheus.Counter
	crossZoneFlows                                    prometheus.Counter
	loadReportAge, expectedDelay                      prometheus.Histogram
	evacuatedZones                                    *telemetry.ZoneGauges
	standbys, silences, relayed, probed               prometheus.Counter
}

func newObserver(log *zap.Logger, reg *prometheus.Registry) *observer {
	c := telemetry.Metrics{Registry: reg, Subsystem: subsystem}
	o := &observer{
		RateLimitedLog:  telemetry.RateLimitedLog{Log: log, Now: time.Now},
		opening:         telemetry.RateLimit{PerSecond: openLinesPerSecond},
		searching:       telemetry.RateLimit{PerSecond: searchLinesPerSecond},
		returns:         telemetry.RateLimit{PerSecond: returnLinesPerSecond},
		other:           telemetry.RateLimit{PerSecond: otherLinesPerSecond},
		changes:         telemetry.RateLimit{PerSecond: changeLinesPerSecond},
		forwarded:       c.Counter("forwarded_packets_total", "Packets sent to the remembered target of their flow."),
		opened:          c.Counter("opening_packets_total", "Opening packets for which a target was chosen."),
		refused:         c.Counter("refused_flows_total", "Flows reset because no target can take them."),
		overloads:       c.CounterVector("overloads_total", "Times that a service was found overloaded.", "service"),
		searches:        c.Counter("searches_total", "Packets of unknown flows sent along their candidates."),
		ownersFound:     c.Counter("owners_found_total", "Flows whose target a search found."),
		unanswered:      c.Counter("unanswered_probes_total", "Search probes that had not returned before the next attempt."),
		recordsReturned: c.Counter("returned_packets_total", "Packets returned by the recorded target of their flow."),
		dropped:         telemetry.CountersByReason(c, "dropped_packets_total", "Packets dropped, by reason.", DropReasons),
		buffered:        telemetry.CountersByReason(c, "kept_packets_total", "Packets kept because their way was not known yet, by reason.", search.BufferReasons),
		loadReportAge: c.Histogram("reading_age_seconds",
			"Age of the target's load reading when a new flow was sent to it.", []float64{0.05, 0.1, 0.2, 0.5, 1, 2, 5}),
		crossZoneFlows: c.Counter("crossing_flows_total", "Opening packets for which a target of another zone was chosen."),
		expectedDelay: c.Histogram("expected_delay_seconds",
			"Expected delay at the cheapest target for a new flow, the price of crossing zones included.",
			[]float64{0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}),
		evacuatedZones: telemetry.NewZoneGauges(c),
		silences:       c.Counter("zone_silences_total", "Times that a zone fell silent: its targets get no new flows meanwhile."),
		standbys:       c.Counter("stood_by_total", "Times that the balancer left the rotation because its link was full."),
		relayed:        c.Counter("relayed_messages_total", "Messages of other zones' nodes that were relayed in the own zone."),
		probed:         c.Counter("asked_nodes_total", "Nodes of other zones that were asked because no relay named them any more."),
		lost:           c.CounterVector("lost_packets_total", "Packets whose flow no target holds.", "sure"),
	}
	return o
}

// Forwarded implements Events.
func (o *observer) Forwarded() { o.forwarded.Inc() }

// Opened implements Events.
func (o *observer) Opened(d Decision) {
	o.opened.Inc()
	o.loadReportAge.Observe(d.ReportAge.Seconds())
	o.expectedDelay.Observe(d.ExpectedDelay.Seconds())
	if d.CrossZone {
		o.crossZoneFlows.Inc()
	}
	o.Write(&o.opening, "flow sent to target",
		zap.Stringer(fieldFlow, d.Key), zap.String(fieldRoute, d.Route),
		zap.String(telemetry.FieldService, d.Service), zap.Stringer(fieldTarget, d.Target.IP),
		zap.Uint16(fieldLoad, d.Target.Outstanding), zap.Uint16(fieldSlots, d.Target.Slots),
		zap.Int(fieldFlowsSent, d.Target.FlowsSent-1), zap.Int64(fieldAnswerInterval, d.Target.AnswerInterval.Microseconds()), zap.Int64(fieldExpectedDelay, d.ExpectedDelay.Milliseconds()),
		zap.Bool(fieldCrossZone, d.CrossZone),
		zap.Int64(fieldLoadReportAge, d.ReportAge.Milliseconds()), zap.Int64(telemetry.FieldConfig, d.Config), zap.Int64(telemetry.FieldEvacuations, d.Evacuations),
		zap.Int(fieldCandidates, d.Candidates), zap.Uint32(fieldRetransmission, d.Retransmissions))
}

// Refused implements Events.
func (o *observer) Refused(key flow.Key, reason, route string) {
	o.refused.Inc()
	o.Write(&o.other, "flow reset", zap.Stringer(fieldFlow, key), zap.String(fieldRoute, route), zap.String(fieldReason, reason))
}

// OverloadChanged implements Events.
func (o *observer) OverloadChanged(change Overload) {
	msg := "service no longer overloaded"
	if change.Overloaded {
		msg = "service overloaded"
		o.overloads.WithLabelValues(change.Service).Inc()
	}
	o.Write(&o.changes, msg, zap.String(telemetry.FieldService, change.Service), zap.Int("slots_overloaded", change.OverloadedSlots),
		zap.Int("slots_free", change.FreeSlots), zap.Int("slots_heard", change.Slots), zap.Int64(fieldLoadReportAge, change.Age.Milliseconds()))
}

// Searching implements Events.
func (o *observer) Searching(key flow.Key, probes [][]flow.IPv4, round int) {
	o.searches.Inc()
	o.Write(&o.searching, "searching for the target of an unknown flow", zap.Stringer(fieldFlow, key), zap.Int(fieldCandidates, probedTargets(probes).count()), zap.Int(fieldRound, round),
		zap.Stringer(fieldProbes, probedTargets(probes)))
}

// ProbeReturned implements Events.
func (o *observer) ProbeReturned(key flow.Key, from flow.IPv4, hops int, certain bool, outstanding int) {
	o.Write(&o.returns, "search probe returned", zap.Stringer(fieldFlow, key), zap.Stringer(fieldTarget, from), zap.Int(fieldHops, hops), zap.Bool(fieldCertain, certain),
		zap.Int("outstanding", outstanding))
}

// Unanswered implements Events.
func (o *observer) Unanswered(key flow.Key, probes [][]flow.IPv4, round int) {
	o.unanswered.Add(float64(len(probes)))
	o.Write(&o.returns, "search probes not returned", zap.Stringer(fieldFlow, key), zap.Int(fieldCandidates, probedTargets(probes).count()), zap.Int(fieldRound, round),
		zap.Stringer(fieldProbes, probedTargets(probes)))
}

// RecordReturned implements Events.
func (o *observer) RecordReturned(key flow.Key, target flow.IPv4, certain bool) {
	o.recordsReturned.Inc()
	o.Write(&o.returns, "packet returned by the recorded target", zap.Stringer(fieldFlow, key), zap.Stringer(fieldTarget, target), zap.Bool(fieldCertain, certain))
}

// probedTargets are the targets of each probe of a search.
type probedTargets [][]flow.IPv4

// maxLoggedTargets bounds the length of a log line.
const maxLoggedTargets = 80

func (p probedTargets) count() (n int) {
	for _, probe := range p {
		n += len(probe)
	}
	return n
}

// String lists the targets, those of one probe separated by commas and the probes by spaces; an
// ellipsis stands for those beyond maxLoggedTargets.
func (p probedTargets) String() string {
	var b strings.Builder
	logged := 0
	for i, probe := range p {
		if i > 0 {
			b.WriteByte(' ')
		}
		for j, candidate := range probe {
			if logged == maxLoggedTargets {
				b.WriteString("…")
				return b.String()
			}
			if j > 0 {
				b.WriteByte(',')
			}
			b.WriteString(candidate.String())
			logged++
		}
	}
	return b.String()
}

// OwnerFound implements Events.
func (o *observer) OwnerFound(key flow.Key, target flow.IPv4, hops int) {
	o.ownersFound.Inc()
	o.Write(&o.searching, "target of the flow found", zap.Stringer(fieldFlow, key), zap.Stringer(fieldTarget, target), zap.Int(fieldHops, hops))
}

// Lost implements Events.
func (o *observer) Lost(key flow.Key, hops int, uncertainty Uncertainty, missing flow.IPv4) {
	outcome := string(uncertainty)
	if uncertainty == "" {
		outcome = "reset"
	}
	o.lost.WithLabelValues(outcome).Inc()
	o.Write(&o.searching, "no target holds the flow", zap.Stringer(fieldFlow, key), zap.Int(fieldHops, hops), zap.String("outcome", outcome),
		zap.Stringer("missing", missing))
}

// Dropped implements Events.
func (o *observer) Dropped(reason DropReason) {
	o.dropped[reason].Inc()
	o.Write(&o.other, "packet dropped", zap.String(fieldReason, string(reason)))
}

// Buffered implements Events.
func (o *observer) Buffered(key flow.Key, reason BufferReason) {
	o.buffered[reason].Inc()
	o.Write(&o.other, "packet buffered", zap.Stringer(fieldFlow, key), zap.String(fieldReason, string(reason)))
}

// TargetChanged implements Events.
func (o *observer) TargetChanged(t *fleet.Target, change fleet.Change) {
	msg := "target changed"
	if change == fleet.Joined {
		msg = "target joined"
	}
	o.Log.Info(msg, zap.Stringer(fieldTarget, t.IP), zap.Stringer(fieldState, t.State), zap.Stringer("service_id", t.Service),
		zap.Uint32("incarnation", uint32(t.TargetIncarnation)), zap.Uint16(fieldSlots, t.Slots), zap.Uint16("warmup_ms", t.WarmupMillis))
}

// TargetExpired implements Events.
func (o *observer) TargetExpired(ip flow.IPv4) {
	o.Log.Info("target expired", zap.Stringer(fieldTarget, ip))
}

// ZoneSilenceChanged implements Events.
func (o *observer) ZoneSilenceChanged(s fleet.ZoneSilence) {
	msg := "zone heard again"
	if s.Silent {
		msg = "zone silent"
		o.silences.Inc()
	}
	o.Log.Info(msg, zap.Uint32("zone_tag", uint32(s.Zone)), zap.Int("missed", s.Missed), zap.Time("heard_at", s.LastSeen))
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

// RotationChanged implements Events.
func (o *observer) RotationChanged(standby bool, mbps, zoneMbps float64, othersInRotation int) {
	msg := "back in rotation"
	if standby {
		msg = "link full, out of rotation"
		o.standbys.Inc()
	}
	o.Log.Info(msg, zap.Float64("mbps", mbps), zap.Float64("zone_mbps", zoneMbps), zap.Int("others_in_rotation", othersInRotation))
}

// ZoneRelayed implements Events.
func (o *observer) ZoneRelayed(zone flow.Tag, balancers int, relayed bool) {
	o.Log.Info("relaying to another zone changed", zap.Uint64("zone_tag", uint64(zone)), zap.Int("balancers", balancers), zap.Bool("relayed", relayed))
}

// Relayed implements Events.
func (o *observer) Relayed(messages int) { o.relayed.Add(float64(messages)) }

// NodeProbed implements Events.
func (o *observer) NodeProbed(ip flow.IPv4, sinceLastSeen time.Duration) {
	o.probed.Inc()
	o.Write(&o.other, "relayed messages of a node stopped, probing it", zap.Stringer(telemetry.FieldPeer, ip), zap.Duration("silent", sinceLastSeen))
}
