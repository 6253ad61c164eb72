// Command poppywall-trial runs a small site in one process and sends a short workload to
// it, during which a target is drained and a balancer stopped. It prints a summary as one
// line of JSON.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"github.com/poppywall/poppywall/binaries/internal/process"
	"github.com/poppywall/poppywall/settings"
	"github.com/poppywall/poppywall/telemetry"
	"github.com/poppywall/poppywall/trial"
)

func main() {
	keep, verbose := false, false
	seconds := 6
	p := process.NewParser("poppywall-trial", "The whole system in one process, with a short workload.")
	p.Bool(&keep, "k", "keep", "Leave the site running and print how to reach it.")
	p.Bool(&verbose, "v", "verbose", "Log what the parts do.")
	p.Int(&seconds, "d", "seconds", "Length of the workload.")
	if err := p.ParseArgs(os.Args[1:]); err != nil {
		process.Fail(process.ExitUsage, err)
	}
	log := zap.NewNop()
	if verbose {
		var err error
		if log, _, err = telemetry.NewLogger(settings.Log{Format: "console"}); err != nil {
			process.Fail(process.ExitFailure, err)
		}
	}
	ctx, stop := process.SignalContext()
	defer stop()
	if err := run(ctx, log, time.Duration(seconds)*time.Second, keep); err != nil {
		process.Fail(process.ExitFailure, err)
	}
}

func run(ctx context.Context, log *zap.Logger, length time.Duration, keep bool) error {
	c, err := trial.Start(ctx, trial.DefaultSite(), log)
	if err != nil {
		return err
	}
	defer c.Close()
	summary, err := trial.Workload(ctx, c, length)
	if err != nil {
		return err
	}
	line, err := json.Marshal(summary)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	if keep {
		return keepRunning(ctx, c)
	}
	if summary.BrokenFlows > 0 {
		return fmt.Errorf("%d flows were broken", summary.BrokenFlows)
	}
	return nil
}

// keepRunning prints how to reach the site and waits for a signal.
func keepRunning(ctx context.Context, c *trial.Cluster) error {
	ca := filepath.Join(os.TempDir(), "poppywall-trial-ca.pem")
	if err := os.WriteFile(ca, c.CAPEM, 0o644); err != nil {
		return err
	}
	for name, address := range c.Addresses {
		fmt.Printf("service %s at %s\n", name, address)
		fmt.Printf("  curl --http3-only --cacert %s --connect-to %s.example:443:%s https://%s.example/catalogue\n", ca, name, address, name)
	}
	fmt.Printf("platform stand-in at %s\n", c.Platform)
	for _, n := range c.Nodes {
		fmt.Printf("balancer control %s metrics %s\n", n.Balancer.ControlAddr(), n.Balancer.MetricsAddr())
	}
	<-ctx.Done()
	return nil
}
