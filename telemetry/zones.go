package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// ZoneGauges show the zones that are evacuated according to a node, and the store revision
// of that set: once all nodes show the same revision, an evacuation is in force everywhere.
type ZoneGauges struct {
	evacuated *prometheus.GaugeVec
	revision  prometheus.Gauge
}

// NewZoneGauges registers the gauges.
func NewZoneGauges(c Metrics) *ZoneGauges {
	return &ZoneGauges{
		evacuated: c.GaugeVector("emptied_zone", "1 for each availability zone whose targets get no new flows.", "zone"),
		revision:  c.Gauge("emptied_zones_revision", "The store's revision by which the emptied zones changed last."),
	}
}

// Update sets the gauges to the evacuated zones as of a revision and logs the change.
// former are the zones evacuated before; from is the source of the change.
func (g *ZoneGauges) Update(log *zap.Logger, zones, former []string, revision int64, from string) {
	g.set(zones, revision)
	log.Info("evacuated zones changed", zap.Strings("zones", zones), zap.Strings("former", former),
		zap.Int64(FieldEvacuations, revision), zap.String("from", from))
}

// set replaces the evacuated zones in the gauges.
func (g *ZoneGauges) set(zones []string, revision int64) {
	g.evacuated.Reset()
	for _, zone := range zones {
		g.evacuated.WithLabelValues(zone).Set(1)
	}
	g.revision.Set(float64(revision))
}
