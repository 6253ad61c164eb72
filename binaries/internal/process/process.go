// Package process contains the code that all binaries share: the command line, settings and their
// reload, the logger and the stop on a signal.
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

// Fail prints an error to standard error and exits with code.
func Fail(code int, err error) {
	fmt.Fprintln(os.Stderr, "error:", err)
	os.Exit(code)
}

// Runner is the main object of a process. Run returns when ctx ends or on an error.
type Runner interface {
	Run(ctx context.Context) error
}

// Daemon describes a long-running binary with settings of type T.
type Daemon[T any] struct {
	Name, Description string
	Defaults          T
	// Log returns the log settings.
	Log func(T) settings.Log
	// New returns the main object; it may implement Reloader.
	New func(T, *zap.Logger) (Runner, error)
}

// Main parses flags, checks settings and runs until SIGTERM or SIGINT.
func (d Daemon[T]) Main(args []string) {
	// Register for SIGHUP first: by default, one that arrives during the start would
	// terminate the process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	path, check := "", false
	p := NewParser(d.Name, d.Description)
	p.String(&path, "s", "settings", "Path of the JSON settings file.")
	p.Bool(&check, "", "check", "Check the settings and exit.")
	if err := p.ParseArgs(args); err != nil {
		Fail(ExitUsage, err)
	}
	cfg := d.loadSettings(path)
	if check {
		fmt.Println("settings are valid")
		return
	}
	if err := d.run(path, cfg, hangup); err != nil {
		Fail(ExitFailure, err)
	}
}

// loadSettings reads and checks the settings file. It exits if that fails.
func (d Daemon[T]) loadSettings(path string) T {
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
	go d.watchSettings(ctx, path, cfg, hangup, r, log, level)
	return r.Run(ctx)
}

// RunFront runs the front that the first argument of the command line names, with
// the arguments after it, or else the default front with all of them.
func RunFront(defaultFront func(args []string), fronts map[string]func(args []string)) {
	args := os.Args[1:]
	if len(args) > 0 {
		if run, ok := fronts[args[0]]; ok {
			run(args[1:])
			return
		}
	}
	defaultFront(args)
}

// SignalContext returns a context that ends on SIGTERM or SIGINT.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
