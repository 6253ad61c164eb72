package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/settings"
	"github.com/poppywall/poppywall/settings/settingstest"
)

// TestTheDeploymentsTemplateIsValid: the settings file that the platform renders is accepted.
func TestTheDeploymentsTemplateIsValid(t *testing.T) {
	cfg, err := settings.Parse(settingstest.Render(t, "../../deploy/agent.json.tmpl"), Defaults())
	require.NoError(t, err)
	require.Equal(t, "10.0.0.1:7720", cfg.Internal)
	require.Equal(t, 3*time.Second, cfg.AddressReuse.D())
	require.Equal(t, []string{"10.0.0.1:8166", "10.0.0.2:8166"}, cfg.Seeds)
}

// TestADeploymentMayLeaveValuesOut: the defaults apply.
func TestADeploymentMayLeaveValuesOut(t *testing.T) {
	cfg, err := settings.Parse(settingstest.RenderRequired(t, "../../deploy/agent.json.tmpl"), Defaults())
	require.NoError(t, err)
	require.Equal(t, Defaults().HeartbeatEvery, cfg.HeartbeatEvery)
	require.Equal(t, Defaults().AddressReuse, cfg.AddressReuse)
}

// TestBadSettingsNameTheField: the error for an invalid file names the field at fault.
func TestBadSettingsNameTheField(t *testing.T) {
	for field, text := range map[string]string{
		"zone":     `{"name":"a"}`,
		"internal": `{"name":"a","zone":"z","service":"s","data":"10.0.0.1:1","internal":"nowhere"}`,
		"unknown":  `{"unknown":1}`,
		"seeds":    `{"seeds":"one"}`,
		// A proof of identity is valid for less than that.
		"addressReuse": `{"name":"a","zone":"z","service":"s","internal":"10.0.0.1:1","outbound":"10.0.0.1:2","target":"10.0.0.1:3","control":"10.0.0.1:4","data":"10.0.0.1:5","store":"10.0.0.1:6","addressReuse":"100ms"}`,
	} {
		_, err := settings.Parse([]byte(text), Defaults())
		require.ErrorContains(t, err, field)
	}
}
