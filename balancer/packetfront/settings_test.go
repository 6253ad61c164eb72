package packetfront

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/settings"
	"github.com/poppywall/poppywall/settings/settingstest"
)

// TestTheDeploymentsTemplateIsValid: the settings that the platform renders are accepted.
func TestTheDeploymentsTemplateIsValid(t *testing.T) {
	cfg, err := settings.Parse(settingstest.Render(t, "../../deploy/balancer.json.tmpl"), Defaults())
	require.NoError(t, err)
	require.Equal(t, "10.0.0.1:7720", cfg.Internal)
	require.Equal(t, []string{"10.0.0.1:8166", "10.0.0.2:8166"}, cfg.Seeds)
}

// TestOmittedSettingsHaveDefaults: a deployment may omit values of the template.
func TestOmittedSettingsHaveDefaults(t *testing.T) {
	cfg, err := settings.Parse(settingstest.RenderRequired(t, "../../deploy/balancer.json.tmpl"), Defaults())
	require.NoError(t, err)
	require.Equal(t, Defaults().CatchUpWithin, cfg.CatchUpWithin)
}

// TestBadSettingsNameTheField: the error contains the name of the invalid field.
func TestBadSettingsNameTheField(t *testing.T) {
	for field, text := range map[string]string{
		"zone":     `{"name":"a"}`,
		"internal": `{"name":"a","zone":"z","data":"10.0.0.1:1","internal":"nowhere"}`,
		"unknown":  `{"unknown":1}`,
		"seeds":    `{"seeds":"one"}`,
	} {
		_, err := settings.Parse([]byte(text), Defaults())
		require.ErrorContains(t, err, field)
	}
}
