package telemetry

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// TestEvacuatedZonesInMetricsAndLog checks that the metrics show only the zones evacuated
// now, and the log line also those evacuated before.
func TestEvacuatedZonesInMetricsAndLog(t *testing.T) {
	reg := prometheus.NewRegistry()
	g := NewZoneGauges(Metrics{Registry: reg, Subsystem: "front"})
	var out bytes.Buffer
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "msg"})
	log := zap.New(zapcore.NewCore(encoder, zapcore.AddSync(&out), zap.InfoLevel))

	g.Update(log, []string{"a", "b"}, nil, 7, "store")
	g.Update(log, []string{"b"}, []string{"a", "b"}, 9, "10.0.0.2")

	rec := httptest.NewRecorder()
	promhttp.HandlerFor(reg, promhttp.HandlerOpts{}).ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	text := rec.Body.String()
	require.Contains(t, text, `poppywall_front_emptied_zone{zone="b"} 1`)
	require.NotContains(t, text, `zone="a"`)
	require.Contains(t, text, "poppywall_front_emptied_zones_revision 9")
	require.Equal(t, `{"msg":"evacuated zones changed","zones":["a","b"],"former":[],"evacuations":7,"from":"store"}
{"msg":"evacuated zones changed","zones":["b"],"former":["a","b"],"evacuations":9,"from":"10.0.0.2"}
`, out.String())
}
