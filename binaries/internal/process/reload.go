package process

import (
	"bytes"
	"context"
	"os"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/poppywall/poppywall/settings"
	"github.com/poppywall/poppywall/telemetry"
)

// settingsPollInterval is the interval at which the settings file is checked for
// changes made without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// Reloader is a Runner that can apply changed settings while it runs. Reload returns the
// names of the fields that it applies; changes of others need a restart.
type Reloader[T any] interface {
	Reload(cfg T) (applied []string)
}

// fieldLog is the settings field that the reload applies for every Runner.
const fieldLog = "log"

// watchSettings reloads the settings on SIGHUP and when their file has changed, until
// ctx ends.
func (d Daemon[T]) watchSettings(ctx context.Context, path string, cfg T, hangup <-chan os.Signal, r Runner, log *zap.Logger, level zap.AtomicLevel) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	// If this read fails, the next successful one counts as a change of the file.
	lastData, _ := os.ReadFile(path)
	for {
		cause := "file changed"
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			cause = "signal"
		case <-tick.C:
		}
		data, err := os.ReadFile(path)
		if err != nil {
			log.Error("settings refused, the old ones stay", zap.Error(err))
			continue
		}
		if bytes.Equal(data, lastData) {
			if cause == "signal" {
				log.Info("settings reloaded", zap.String("cause", cause), zap.Strings("changed", nil))
			}
			continue
		}
		lastData = data
		cfg = d.reload(data, cause, cfg, r, log, level)
	}
}

// reload applies changed settings and returns them. If they are invalid, it logs one line
// and returns the old ones.
func (d Daemon[T]) reload(data []byte, cause string, old T, r Runner, log *zap.Logger, level zap.AtomicLevel) T {
	cfg, err := settings.Parse(data, d.Defaults)
	if err != nil {
		log.Error("settings refused, the old ones stay", zap.String("cause", cause), zap.Error(err))
		return old
	}
	// Parse has validated the level, so no error is expected.
	if l, err := telemetry.ParseLevel(d.Log(cfg)); err == nil {
		level.SetLevel(l)
	}
	applied := []string{fieldLog}
	if reloader, ok := r.(Reloader[T]); ok {
		applied = append(applied, reloader.Reload(cfg)...)
	}
	changed := settings.Changed(old, cfg)
	needRestart := slices.DeleteFunc(slices.Clone(changed), func(f string) bool { return slices.Contains(applied, f) })
	log.Info("settings reloaded", zap.String("cause", cause), zap.Strings("changed", changed), zap.Strings("need_restart", needRestart))
	return cfg
}
