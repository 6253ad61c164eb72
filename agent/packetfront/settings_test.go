package packetfront

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/settings"
	"github.com/poppywall/poppywall/settings/settingstest"
)

// values are what the platform fills into the template.
var values = map[string]any{
	"node-name": "node-1", "zone": "z1", "ip": "10.0.0.1", "internal-ports.0": 7720, "service": "alpha",
	"listen.data-addr": "10.0.0.1:8172", "listen.ready": "10.0.0.1:8167", "listen.outbound": "10.0.0.1:8162",
	"listen.control": "10.0.0.1:8166", "app": "10.0.0.1:8165", "seeds": []string{"10.0.0.1:8166", "10.0.0.2:8166"},
	"platform.address": "10.200.1.7:8169", "heartbeat-ms": 1200, "bounds.flow-ttl-s": 60,
}

func render(t *testing.T) string {
	t.Helper()
	template, err := os.ReadFile("../../deploy/agent.json.tmpl")
	require.NoError(t, err)
	text, err := settingstest.RenderTemplate(string(template), values)
	require.NoError(t, err)
	return text
}

// TestTheDeploymentsTemplateIsValid: what the platform renders is taken.
func TestTheDeploymentsTemplateIsValid(t *testing.T) {
	cfg, err := settings.Parse([]byte(render(t)), Defaults())
	require.NoError(t, err)
	require.Equal(t, "10.0.0.1:7720", cfg.Internal)
	require.Equal(t, []string{"10.0.0.1:8166", "10.0.0.2:8166"}, cfg.Seeds)
}

// TestBadSettingsNameTheField: one clear error each.
func TestBadSettingsNameTheField(t *testing.T) {
	for field, text := range map[string]string{
		"zone":     `{"name":"a"}`,
		"internal": `{"name":"a","zone":"z","service":"s","data":"10.0.0.1:1","internal":"nowhere"}`,
		"unknown":  `{"unknown":1}`,
		"seeds":    `{"seeds":"one"}`,
	} {
		_, err := settings.Parse([]byte(text), Defaults())
		require.ErrorContains(t, err, field)
	}
}
