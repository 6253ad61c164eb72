package operator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/telemetry"
)

// TestTransferMetricsShowALaggingBalancer checks that the metrics alone show that a balancer's
// configuration is older than that of others.
func TestTransferMetricsShowALaggingBalancer(t *testing.T) {
	reg := prometheus.NewRegistry()
	tr := NewTransfers(telemetry.Metrics{Registry: reg, Subsystem: "packetfront"})
	tr.setInForce(12, 4096)
	tr.setHighestSeen(15)
	tr.countFetch(errors.New("deadline"))
	rec := httptest.NewRecorder()
	promhttp.HandlerFor(reg, promhttp.HandlerOpts{}).ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	text, err := io.ReadAll(rec.Body)
	require.NoError(t, err)
	for _, line := range []string{
		"poppywall_packetfront_configuration_version 12", "poppywall_packetfront_configuration_version_heard 15",
		"poppywall_packetfront_configuration_bytes 4096",
		`poppywall_packetfront_configuration_fetches_total{outcome="failed"} 1`,
		`poppywall_packetfront_configuration_fetches_total{outcome="fetched"} 0`,
	} {
		require.Contains(t, string(text), line)
	}
}
