package packetfront

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/balancer/search"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/telemetry"
)

// subsystem begins the names of the metrics.
const subsystem = "packetfront"

// Log field names of the packet front; shared ones stand in package telemetry.
const (
	fieldFlow       = "flow"
	fieldRoute      = "route"
	fieldTarget     = "target"
	fieldReadingAge = "reading_age_ms"
	fieldLoad       = "load"
	fieldSlots      = "slots"
	fieldSent       = "sent_since"
	fieldEach       = "each_us"
	fieldExpected   = "expected_ms"
	fieldOtherZone  = "other_zone"
	fieldCandidates = "candidates"
	fieldCopy       = "copy"
	fieldHops       = "hops"
	fieldReason     = "reason"
	fieldState      = "state"
)

// Lines a second of each kind; what is above is counted and said with the next
// line of the kind.
const (
	openLines   = 200
	searchLines = 50
	otherLines  = 50
	changeLines = 20
)

// observer logs and counts what the core decides. It is called under the
// front's lock.
type observer struct {
	telemetry.Lines

	opening, searching, other, changes telemetry.Budget

	forwarded, opened, refused, searches, owners prometheus.Counter
	overloads                                    *prometheus.CounterVec
	lost                                         *prometheus.CounterVec
	drops                                        map[DropReason]prometheus.Counter
	keeps                                        map[BufferReason]prometheus.Counter
	crossed                                      prometheus.Counter
	readingAge, expected                         prometheus.Histogram
	emptied                                      *telemetry.ZoneGauges
	stoodBy, silences, relayed, asked            prometheus.Counter
}

func newObserver(log *zap.Logger, reg *prometheus.Registry) *observer {
	c := telemetry.Counters{Registry: reg, Subsystem: subsystem}
	o := &observer{
		Lines:     telemetry.Lines{Log: log, Now: time.Now},
		opening:   telemetry.Budget{PerSecond: openLines},
		searching: telemetry.Budget{PerSecond: searchLines},
		other:     telemetry.Budget{PerSecond: otherLines},
		changes:   telemetry.Budget{PerSecond: changeLines},
		forwarded: c.Counter("forwarded_packets_total", "Packets sent to the remembered target of their flow."),
		opened:    c.Counter("opening_packets_total", "Opening packets for which a target was chosen."),
		refused:   c.Counter("refused_flows_total", "Flows reset because no target can take them."),
		overloads: c.Vector("overloads_total", "Times that a service was found overloaded.", "service"),
		searches:  c.Counter("searches_total", "Packets of unknown flows sent along their candidates."),
		owners:    c.Counter("owners_found_total", "Flows whose target a search found."),
		drops:     telemetry.ByReason(c, "dropped_packets_total", "Packets dropped, by reason.", DropReasons),
		keeps:     telemetry.ByReason(c, "kept_packets_total", "Packets kept because their way was not known yet, by reason.", search.BufferReasons),
		readingAge: c.Histogram("reading_age_seconds",
			"Age of the target's load reading when a new flow was sent to it.", []float64{0.05, 0.1, 0.2, 0.5, 1, 2, 5}),
		crossed: c.Counter("crossing_flows_total", "Opening packets for which a target of another zone was chosen."),
		expected: c.Histogram("expected_delay_seconds",
			"Expected delay at the cheapest target for a new flow, the price of crossing zones included.",
			[]float64{0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}),
		emptied:  telemetry.NewZoneGauges(c),
		silences: c.Counter("zone_silences_total", "Times that a zone fell silent: its targets get no new flows meanwhile."),
		stoodBy:  c.Counter("stood_by_total", "Times that the balancer left the rotation because its link was full."),
		relayed:  c.Counter("relayed_messages_total", "Messages of other zones' nodes that were relayed in the own zone."),
		asked:    c.Counter("asked_nodes_total", "Nodes of other zones that were asked because no relay named them any more."),
		lost:     c.Vector("lost_packets_total", "Packets whose flow no target holds.", "sure"),
	}
	return o
}

// Forwarded implements Events.
func (o *observer) Forwarded() { o.forwarded.Inc() }

// Opened implements Events.
func (o *observer) Opened(d Decision) {
	o.opened.Inc()
	o.readingAge.Observe(d.Age.Seconds())
	o.expected.Observe(d.Expected.Seconds())
	if d.OtherZone {
		o.crossed.Inc()
	}
	o.Write(&o.opening, "flow sent to target",
		zap.Stringer(fieldFlow, d.Key), zap.String(fieldRoute, d.Route),
		zap.String(telemetry.FieldService, d.Service), zap.Stringer(fieldTarget, d.Target.IP),
		zap.Uint16(fieldLoad, d.Target.Outstanding), zap.Uint16(fieldSlots, d.Target.Slots),
		zap.Int(fieldSent, d.Target.FlowsSent-1), zap.Int64(fieldEach, d.Target.AnswerInterval.Microseconds()), zap.Int64(fieldExpected, d.Expected.Milliseconds()),
		zap.Bool(fieldOtherZone, d.OtherZone),
		zap.Int64(fieldReadingAge, d.Age.Milliseconds()), zap.Int64(telemetry.FieldConfig, d.Config), zap.Int64(telemetry.FieldEvacuations, d.Evacuations),
		zap.Int(fieldCandidates, d.Candidates), zap.Uint32(fieldCopy, d.Copy))
}

// Refused implements Events.
func (o *observer) Refused(key flow.Key, reason, route string) {
	o.refused.Inc()
	o.Write(&o.other, "flow reset", zap.Stringer(fieldFlow, key), zap.String(fieldRoute, route), zap.String(fieldReason, reason))
}

// OverloadChanged implements Events.
func (o *observer) OverloadChanged(change Overload) {
	what := "service no longer overloaded"
	if change.Overloaded {
		what = "service overloaded"
		o.overloads.WithLabelValues(change.Service).Inc()
	}
	o.Write(&o.changes, what, zap.String(telemetry.FieldService, change.Service), zap.Int("slots_overloaded", change.OverloadedSlots),
		zap.Int("slots_free", change.FreeSlots), zap.Int("slots_heard", change.Slots), zap.Int64(fieldReadingAge, change.Age.Milliseconds()))
}

// Searching implements Events.
func (o *observer) Searching(key flow.Key, candidates, round int) {
	o.searches.Inc()
	o.Write(&o.searching, "flow unknown, searched for", zap.Stringer(fieldFlow, key), zap.Int(fieldCandidates, candidates), zap.Int("round", round))
}

// OwnerFound implements Events.
func (o *observer) OwnerFound(key flow.Key, target flow.IPv4, hops int) {
	o.owners.Inc()
	o.Write(&o.searching, "flow found", zap.Stringer(fieldFlow, key), zap.Stringer(fieldTarget, target), zap.Int(fieldHops, hops))
}

// Lost implements Events.
func (o *observer) Lost(key flow.Key, hops int, doubt Uncertainty, missing flow.IPv4) {
	outcome := string(doubt)
	if doubt == "" {
		outcome = "reset"
	}
	o.lost.WithLabelValues(outcome).Inc()
	o.Write(&o.searching, "flow held by no target", zap.Stringer(fieldFlow, key), zap.Int(fieldHops, hops), zap.String("outcome", outcome),
		zap.Stringer("missing", missing))
}

// Dropped implements Events.
func (o *observer) Dropped(reason DropReason) {
	o.drops[reason].Inc()
	o.Write(&o.other, "packet dropped", zap.String(fieldReason, string(reason)))
}

// Buffered implements Events.
func (o *observer) Buffered(key flow.Key, reason BufferReason) {
	o.keeps[reason].Inc()
	o.Write(&o.other, "packet kept", zap.Stringer(fieldFlow, key), zap.String(fieldReason, string(reason)))
}

// TargetChanged implements Events.
func (o *observer) TargetChanged(h *fleet.Target, change fleet.Change) {
	what := "target changed"
	if change == fleet.Joined {
		what = "target joined"
	}
	o.Log.Info(what, zap.Stringer(fieldTarget, h.IP), zap.Stringer(fieldState, h.State), zap.Uint32("service_tag", uint32(h.Service)),
		zap.Uint32("incarnation", uint32(h.TargetIncarnation)), zap.Uint16(fieldSlots, h.Slots), zap.Uint16("warmup_ms", h.WarmupMillis))
}

// TargetForgotten implements Events.
func (o *observer) TargetForgotten(ip flow.IPv4) {
	o.Log.Info("target forgotten", zap.Stringer(fieldTarget, ip))
}

// ZoneSilenceChanged implements Events.
func (o *observer) ZoneSilenceChanged(s fleet.ZoneSilence) {
	what := "zone heard again"
	if s.Silent {
		what = "zone silent"
		o.silences.Inc()
	}
	o.Log.Info(what, zap.Uint32("zone_tag", uint32(s.Zone)), zap.Int("missed", s.Missed), zap.Time("heard_at", s.LastSeen))
}

// PeerChanged implements Events.
func (o *observer) PeerChanged(ip flow.IPv4, what string) {
	o.Log.Info("balancer "+what, zap.Stringer(telemetry.FieldPeer, ip))
}

// EvacuationsChanged implements Events.
func (o *observer) EvacuationsChanged(now, former flow.Evacuations, from string) {
	o.emptied.Changed(o.Log, now.Zones(), former.Zones(), now.Revision, from)
}

// RotationChanged implements Events.
func (o *observer) RotationChanged(out bool, own, zone float64, taking int) {
	what := "back in rotation"
	if out {
		what = "link full, out of rotation"
		o.stoodBy.Inc()
	}
	o.Log.Info(what, zap.Float64("mbps", own), zap.Float64("zone_mbps", zone), zap.Int("others_in_rotation", taking))
}

// ZoneRelayed implements Events.
func (o *observer) ZoneRelayed(zone flow.Tag, balancers int, relayed bool) {
	o.Log.Info("relaying to another zone changed", zap.Uint32("zone_tag", uint32(zone)), zap.Int("balancers", balancers), zap.Bool("relayed", relayed))
}

// Relayed implements Events.
func (o *observer) Relayed(messages int) { o.relayed.Add(float64(messages)) }

// Probed implements Events.
func (o *observer) Probed(ip flow.IPv4, silent time.Duration) {
	o.asked.Inc()
	o.Write(&o.other, "node not relayed any more, asked", zap.Stringer(telemetry.FieldPeer, ip), zap.Duration("silent", silent))
}
