// Command poppywall-standin runs a stand-in as a process, for tests and demos:
// the platform's key-value service, or a target.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/poppywall/poppywall/binaries/internal/process"
	"github.com/poppywall/poppywall/standin"
)

// targetFlags are the flags of the subcommand target.
type targetFlags struct {
	name, agent, service string
	slots, workMillis    int
}

func main() {
	p := process.NewParser("poppywall-standin", "Stand-ins for tests and demos.")
	listen := "127.0.0.1:0"
	platformCmd := flaggy.NewSubcommand("platform")
	platformCmd.Description = "Key-value service with the platform's protocol, in memory."
	platformCmd.String(&listen, "l", "listen", "Address to listen on.")
	t := targetFlags{name: "target", slots: 5}
	targetCmd := flaggy.NewSubcommand("target")
	targetCmd.Description = "Target with board streams, moves, holds, uploads and a catalogue."
	targetCmd.String(&t.name, "n", "name", "Name of the target.")
	targetCmd.String(&t.agent, "a", "agent", "Base URL of the agent's announcement endpoint.")
	targetCmd.String(&t.service, "s", "service", "Value of the label \"service\".")
	targetCmd.Int(&t.slots, "", "slots", "Slots to announce.")
	targetCmd.Int(&t.workMillis, "w", "work-millis", "Time of a short request.")
	p.AttachSubcommand(platformCmd, 1)
	p.AttachSubcommand(targetCmd, 1)
	if err := p.ParseArgs(os.Args[1:]); err != nil {
		process.Fail(process.ExitUsage, err)
	}
	ctx, stop := process.SignalContext()
	defer stop()
	if err := run(ctx, platformCmd.Used, targetCmd.Used, listen, t); err != nil {
		process.Fail(process.ExitFailure, err)
	}
}

func run(ctx context.Context, platform, target bool, listen string, t targetFlags) error {
	switch {
	case platform:
		return runPlatform(ctx, listen)
	case target:
		return runTarget(ctx, t)
	default:
		return errors.New("a subcommand is required: platform or target")
	}
}

func runPlatform(ctx context.Context, listen string) error {
	ln, err := net.Listen("tcp4", listen)
	if err != nil {
		return err
	}
	fmt.Println("platform", "http://"+ln.Addr().String())
	srv := &http.Server{Handler: standin.Gateway(standin.NewStore(time.Now)), ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// drainLimit is how long a stopping target waits for requests in progress to end.
const drainLimit = 30 * time.Second

func runTarget(ctx context.Context, f targetFlags) error {
	t, err := standin.NewTarget(standin.TargetOptions{
		Name:        f.name,
		Slots:       f.slots,
		Labels:      map[string]string{"service": f.service},
		Agent:       f.agent,
		Heartbeat:   500 * time.Millisecond,
		ServiceTime: time.Duration(f.workMillis) * time.Millisecond,
	})
	if err != nil {
		return err
	}
	fmt.Println("target", t.Address())
	serveCtx, stop := context.WithCancel(context.Background())
	defer stop()
	context.AfterFunc(ctx, func() {
		t.Drain()
		t.WaitIdle(drainLimit)
		stop()
	})
	return t.Serve(serveCtx)
}
