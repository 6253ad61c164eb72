package process

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/poppywall/poppywall/settings"
	"github.com/poppywall/poppywall/telemetry"
)

// settingsPoll is how often the settings file is looked at: it may change
// without a signal.
const settingsPoll = 2 * time.Second

// Reloader is a Runner that takes changed settings while it runs. It returns
// the names of changed fields that need a restart.
type Reloader[T any] interface {
	Reload(cfg T) (restart []string)
}

// follow reloads the settings on SIGHUP and when their file has changed.
func (d Daemon[T]) follow(ctx context.Context, path string, hangup <-chan os.Signal, r Runner, log *zap.Logger, level zap.AtomicLevel) {
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
				log.Info("settings reloaded", zap.String("cause", cause), zap.Bool("changed", false))
			}
			continue
		}
		last = data
		d.reload(data, cause, r, log, level)
	}
}

// reload puts changed settings in force, or refuses them with one line.
func (d Daemon[T]) reload(data []byte, cause string, r Runner, log *zap.Logger, level zap.AtomicLevel) {
	cfg, err := settings.Parse(data, d.Defaults)
	if err != nil {
		log.Error("settings refused, the old ones stay", zap.String("cause", cause), zap.Error(err))
		return
	}
	// The level was validated with the rest.
	if l, err := telemetry.ParseLevel(d.Log(cfg)); err == nil {
		level.SetLevel(l)
	}
	var restart []string
	if reloader, ok := r.(Reloader[T]); ok {
		restart = reloader.Reload(cfg)
	}
	log.Info("settings reloaded", zap.String("cause", cause), zap.Bool("changed", true), zap.Strings("needRestart", restart))
}
