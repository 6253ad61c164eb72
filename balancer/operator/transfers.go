package operator

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poppywall/poppywall/telemetry"
)

// Values of the label "outcome".
const (
	outcomeFetched = "fetched"
	outcomeFailed  = "failed"
)

// Transfers exports how a balancer follows the configuration. If the highest version seen
// stays above the one in force, the newer configuration does not arrive.
type Transfers struct {
	inForce, highestSeen, size prometheus.Gauge
	fetches                    *prometheus.CounterVec
}

// NewTransfers registers the metrics.
func NewTransfers(c telemetry.Metrics) *Transfers {
	t := &Transfers{
		inForce:     c.Gauge("configuration_version", "Version of the configuration in force."),
		highestSeen: c.Gauge("configuration_version_heard", "Highest version that any balancer is known to have in force."),
		size:        c.Gauge("configuration_bytes", "Size of the configuration in force as it is stored."),
		fetches:     c.CounterVector("configuration_fetches_total", "Fetches of a configuration from another balancer, by outcome.", "outcome"),
	}
	for _, outcome := range []string{outcomeFetched, outcomeFailed} {
		t.fetches.WithLabelValues(outcome)
	}
	return t
}

func (t *Transfers) countFetch(err error) {
	outcome := outcomeFetched
	if err != nil {
		outcome = outcomeFailed
	}
	t.fetches.WithLabelValues(outcome).Inc()
}

func (t *Transfers) setHighestSeen(version int64) { t.highestSeen.Set(float64(version)) }

func (t *Transfers) setInForce(version int64, size int) {
	t.inForce.Set(float64(version))
	t.size.Set(float64(size))
}
