// Command poppywallctl is the operators' tool. It changes the configuration stored on the
// platform and shows what is in force on the balancers.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/user"
	"time"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"github.com/poppywall/poppywall/binaries/internal/process"
	"github.com/poppywall/poppywall/change"
	"github.com/poppywall/poppywall/control"
	"github.com/poppywall/poppywall/settings"
	"github.com/poppywall/poppywall/store"
	"github.com/poppywall/poppywall/store/gateway"
)

// Exit codes of changes.
const (
	exitRejected   = 3
	exitUnknown    = 4
	exitNotInForce = 5
)

// ctlSettings are the contents of the settings file.
type ctlSettings struct {
	// Platform is the base URL of the platform's key-value service.
	Platform string `json:"platform" validate:"required,url"`
	// Balancers are the control addresses of balancers to query for their status.
	Balancers []string `json:"balancers" validate:"required,min=1,dive,addrport4"`
	// Secrets is the cluster secret list.
	Secrets []settings.Secret `json:"secrets" validate:"required,min=1,max=8,dive"`
	// Author is recorded in the history of changes; the user's login name by default.
	Author string `json:"author,omitempty"`
}

const (
	platformTimeout = 5 * time.Second
	callTimeout     = 3 * time.Second
	idleConnTimeout = time.Minute
)

// tool is an invocation of the command.
type tool struct {
	cfg     ctlSettings
	store   store.Store
	client  *control.Client
	applier *change.Applier
	// wait is how long to wait until a change is in force on every balancer; zero does
	// not wait.
	wait time.Duration
}

// flags are the values of the command line.
type flags struct {
	settings string
	check    bool
	wait     time.Duration
	file     string
	host     string
	labels   []string
	timeout  time.Duration
}

func main() {
	f := flags{timeout: 20 * time.Second}
	p := process.NewParser("poppywallctl", "Changes services, labels and drains, and shows what is in force.")
	p.String(&f.settings, "s", "settings", "Path of the JSON settings file.")
	p.Bool(&f.check, "", "check", "Check the settings and exit.")
	p.Duration(&f.wait, "w", "wait", "Wait until the change is in force on every balancer, at most this long.")
	p.Duration(&f.timeout, "t", "timeout", "Longest time to ask the platform.")
	commands := addCommands(p, &f)
	if err := p.ParseArgs(os.Args[1:]); err != nil {
		process.Fail(process.ExitUsage, err)
	}
	t := newTool(&f)
	if f.check {
		fmt.Println("settings are valid")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.timeout)
	defer cancel()
	for _, c := range commands {
		if c.sub.Used {
			os.Exit(c.run(ctx, t))
		}
	}
	p.ShowHelpAndExit("say what to do")
}

// command is a subcommand with its action.
type command struct {
	sub *flaggy.Subcommand
	run func(context.Context, *tool) int
}

// addCommands adds the subcommands and their arguments to p.
func addCommands(p *flaggy.Parser, f *flags) []command {
	add := func(name, description string, run func(context.Context, *tool) int) command {
		sub := flaggy.NewSubcommand(name)
		sub.Description = description
		p.AttachSubcommand(sub, 1)
		return command{sub, run}
	}
	commands := []command{
		add("apply", "Make the change in a JSON file.", func(ctx context.Context, t *tool) int { return t.apply(ctx, f.file) }),
		add("diff", "Show what a JSON file would change.", func(ctx context.Context, t *tool) int { return t.diff(ctx, f.file) }),
		add("get", "Print the stored configuration.", func(ctx context.Context, t *tool) int { return t.get(ctx) }),
		add("label", "Set (key=value) or remove (key-) labels of HOST or HOST/TARGET.", func(ctx context.Context, t *tool) int { return t.label(ctx, f.host, f.labels) }),
		add("drain", "Take HOST or HOST/TARGET out of service; open work ends.", func(ctx context.Context, t *tool) int { return t.drain(ctx, f.host, true) }),
		add("undrain", "Put HOST or HOST/TARGET back in service.", func(ctx context.Context, t *tool) int { return t.drain(ctx, f.host, false) }),
		add("status", "Show services, hosts and the revision in force on each balancer.", func(ctx context.Context, t *tool) int { return t.status(ctx) }),
		add("history", "Show the changes of the last day.", func(ctx context.Context, t *tool) int { return t.history(ctx) }),
	}
	for _, c := range commands[:2] {
		c.sub.AddPositionalValue(&f.file, "FILE", 1, true, "JSON file with items.")
	}
	for _, c := range commands[3:6] {
		c.sub.AddPositionalValue(&f.host, "HOST", 1, true, "HOST or HOST/TARGET.")
	}
	commands[3].sub.StringSlice(&f.labels, "l", "set", "key=value or key-; may be given several times.")
	return commands
}

func newTool(f *flags) *tool {
	if f.settings == "" {
		process.Fail(process.ExitUsage, fmt.Errorf("--settings is required"))
	}
	cfg, err := settings.Load(f.settings, ctlSettings{})
	if err != nil {
		process.Fail(process.ExitUsage, err)
	}
	secrets, err := settings.Secrets(cfg.Secrets)
	if err != nil {
		process.Fail(process.ExitUsage, err)
	}
	store := gateway.NewClient(cfg.Platform, platformTimeout)
	return &tool{
		cfg:     cfg,
		store:   store,
		client:  control.NewClient(secrets, &control.Traffic{}, callTimeout, idleConnTimeout),
		applier: change.NewApplier(store, change.Options{Author: author(cfg), Now: time.Now, NewID: uuid.NewString}),
		wait:    f.wait,
	}
}

// author returns the author of changes: from the settings, else the login name.
func author(cfg ctlSettings) string {
	if cfg.Author != "" {
		return cfg.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// printJSON prints a value as indented JSON.
func printJSON(v any) {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}
