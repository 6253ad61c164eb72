package process

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/poppywall/poppywall/settings"
)

type testSettings struct {
	Name string       `json:"name" validate:"required"`
	Log  settings.Log `json:"log"`
}

// TestInvalidSettingsAreRejectedWithOneLogLine checks that a reload with invalid
// settings logs one line each time and leaves the settings and the log level unchanged.
func TestInvalidSettingsAreRejectedWithOneLogLine(t *testing.T) {
	d := Daemon[testSettings]{Log: func(s testSettings) settings.Log { return s.Log }}
	core, lines := observer.New(zapcore.InfoLevel)
	level := zap.NewAtomicLevelAt(zapcore.InfoLevel)
	cfg := d.reload([]byte(`{"name":"a","log":{"level":"debug"}}`), "test", testSettings{Name: "b"}, nil, zap.New(core), level)
	require.Equal(t, "a", cfg.Name)
	reloaded := lines.FilterMessage("settings reloaded").All()[0].ContextMap()
	require.Equal(t, []any{"name", "log"}, reloaded["changed"])
	require.Equal(t, []any{"name"}, reloaded["need_restart"])
	require.Equal(t, zapcore.DebugLevel, level.Level())
	require.Equal(t, 1, lines.FilterMessage("settings reloaded").Len())
	for _, bad := range []string{`{`, `{"log":{"level":"error"}}`, `{"name":"a","log":{"level":"loud"}}`} {
		require.Equal(t, cfg, d.reload([]byte(bad), "test", cfg, nil, zap.New(core), level))
		require.Equal(t, zapcore.DebugLevel, level.Level(), bad)
	}
	require.Equal(t, 3, lines.FilterMessage("settings refused, the old ones stay").Len())
}
