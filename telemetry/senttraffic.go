package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// ReceiverZone is the zone of a datagram's receiver relative to the sender's.
type ReceiverZone int

// The receiver zones.
const (
	// ZoneUnknown means that the sender does not know the receiver's zone.
	ZoneUnknown ReceiverZone = iota
	// SameZone means the sender's zone.
	SameZone
	// OtherZone means any zone other than the sender's.
	OtherZone
)

var receiverZones = []string{ZoneUnknown: "unknown", SameZone: "same", OtherZone: "other"}

// ReceiverZoneOf compares the receiver's zone, if it is known, with own, the sender's
// zone.
func ReceiverZoneOf[Zone comparable](own, receiver Zone, known bool) ReceiverZone {
	switch {
	case !known:
		return ZoneUnknown
	case receiver == own:
		return SameZone
	default:
		return OtherZone
	}
}

// SentTraffic counts the datagrams and bytes that a node sends to other nodes, by kind of
// message and by ReceiverZone, since traffic between zones is expensive. All series are
// created at the start, so that counting needs no lookup by label value.
type SentTraffic struct {
	datagrams, bytes [][]prometheus.Counter
}

// NewSentTraffic registers the counters of the named kinds.
func NewSentTraffic(c Metrics, kinds []string) *SentTraffic {
	vector := func(name, help string) [][]prometheus.Counter {
		v := promauto.With(c.Registry).NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: c.Subsystem, Name: name, Help: help,
		}, []string{"kind", "zone"})
		var out [][]prometheus.Counter
		for _, kind := range kinds {
			var row []prometheus.Counter
			for _, zone := range receiverZones {
				row = append(row, v.WithLabelValues(kind, zone))
			}
			out = append(out, row)
		}
		return out
	}
	return &SentTraffic{
		datagrams: vector("sent_datagrams_total", "Datagrams sent to other nodes, by kind and by the receiver's zone."),
		bytes:     vector("sent_bytes_total", "Bytes in datagrams sent to other nodes, by kind and by the receiver's zone."),
	}
}

// Count counts a datagram; kind is an index into the names given to NewSentTraffic.
// Other kinds are ignored.
func (s *SentTraffic) Count(kind int, to ReceiverZone, bytes int) {
	if kind < 0 || kind >= len(s.bytes) {
		return
	}
	s.datagrams[kind][to].Inc()
	s.bytes[kind][to].Add(float64(bytes))
}
