// Package process is what all binaries share: flags, settings, the log and the
// stop on a signal.
package process

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/settings"
	"github.com/poppywall/poppywall/telemetry"
)

// Exit codes of all binaries.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = settings.ExitBadSettings
)

// NewParser returns a command line parser with --version and --help.
func NewParser(name, description string) *flaggy.Parser {
	p := flaggy.NewParser(name)
	p.Description = description
	p.Version = telemetry.Version
	return p
}

// Fail prints an error and exits.
func Fail(code int, err error) {
	fmt.Fprintln(os.Stderr, "error:", err)
	os.Exit(code)
}

// Runner is a process's main object.
type Runner interface {
	Run(ctx context.Context) error
}

// Daemon describes a long-running binary with settings of type T.
type Daemon[T any] struct {
	Name, Description string
	Defaults          T
	Log               func(T) settings.Log
	New               func(T, *zap.Logger) (Runner, error)
}

// Main parses flags, checks settings and runs until SIGTERM or SIGINT.
func (d Daemon[T]) Main(args []string) {
	// First of all: a signal that comes while the process starts must not end it.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	path, check := "", false
	p := NewParser(d.Name, d.Description)
	p.String(&path, "s", "settings", "Path of the JSON settings file.")
	p.Bool(&check, "", "check", "Check the settings and exit.")
	if err := p.ParseArgs(args); err != nil {
		Fail(ExitUsage, err)
	}
	cfg := d.load(path)
	if check {
		fmt.Println("settings are valid")
		return
	}
	if err := d.run(path, cfg, hangup); err != nil {
		Fail(ExitFailure, err)
	}
}

func (d Daemon[T]) load(path string) T {
	if path == "" {
		Fail(ExitUsage, fmt.Errorf("--settings is required"))
	}
	cfg, err := settings.Load(path, d.Defaults)
	if err != nil {
		Fail(ExitUsage, err)
	}
	return cfg
}

func (d Daemon[T]) run(path string, cfg T, hangup <-chan os.Signal) error {
	log, level, err := telemetry.NewLogger(d.Log(cfg))
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	r, err := d.New(cfg, log)
	if err != nil {
		log.Error("start failed", zap.Error(err))
		return err
	}
	ctx, stop := SignalContext()
	defer stop()
	go d.follow(ctx, path, cfg, hangup, r, log, level)
	return r.Run(ctx)
}

// Fronts runs the front that the first argument names, else the default one.
func Fronts(byDefault func(args []string), named map[string]func(args []string)) {
	args := os.Args[1:]
	if len(args) > 0 {
		if run, ok := named[args[0]]; ok {
			run(args[1:])
			return
		}
	}
	byDefault(args)
}

// SignalContext returns a context that ends on SIGTERM or SIGINT.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
