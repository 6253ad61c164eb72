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

// settingsPoll is how often the settings file is looked at: it may change
// without a signal.
const settingsPoll = 2 * time.Second

// Reloader is a Runner that takes changed settings while it runs. It returns
// the names of the fields that it has taken over; others need a restart.
type Reloader[T any] interface {
	Reload(cfg T) (taken []string)
}

// fieldLog is the field that every process takes over by itself.
const fieldLog = "log"

// follow reloads the settings on SIGHUP and when their file has changed.
func (d Daemon[T]) follow(ctx context.Context, path string, cfg T, hangup <-chan os.Signal, r Runner, log *zap.Logger, level zap.AtomicLevel) {
	tick := time.NewTicker(settingsPoll)
	defer tick.Stop()
	// A file that cannot be read is taken for unchanged; the next look tells.
	last, _ := os.ReadFile(path)
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
		if bytes.Equal(data, last) {
			if cause == "signal" {
				log.Info("settings reloaded", zap.String("cause", cause), zap.Strings("changed", nil))
			}
			continue
		}
		last = data
		cfg = d.reload(data, cause, cfg, r, log, level)
	}
}

// reload puts changed settings in force, or refuses them with one line. It
// returns those that are in force.
func (d Daemon[T]) reload(data []byte, cause string, old T, r Runner, log *zap.Logger, level zap.AtomicLevel) T {
	cfg, err := settings.Parse(data, d.Defaults)
	if err != nil {
		log.Error("settings refused, the old ones stay", zap.String("cause", cause), zap.Error(err))
		return old
	}
	// The level was validated with the rest.
	if l, err := telemetry.ParseLevel(d.Log(cfg)); err == nil {
		level.SetLevel(l)
	}
	taken := []string{fieldLog}
	if reloader, ok := r.(Reloader[T]); ok {
		taken = append(taken, reloader.Reload(cfg)...)
	}
	changed := settings.Changed(old, cfg)
	restart := slices.DeleteFunc(slices.Clone(changed), func(f string) bool { return slices.Contains(taken, f) })
	log.Info("settings reloaded", zap.String("cause", cause), zap.Strings("changed", changed), zap.Strings("need_restart", restart))
	return cfg
}
