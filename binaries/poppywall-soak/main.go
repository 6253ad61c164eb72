// Command poppywall-soak runs the packet front or the QUIC front under random faults, once
// for each seed, and checks its guarantees.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"

	"github.com/poppywall/poppywall/binaries/internal/process"
	"github.com/poppywall/poppywall/soak"
)

// Defaults: a small site, with runs of about 20 s per seed.
const (
	defaultBalancers = 4
	defaultAgents    = 8
	defaultClients   = 8
	defaultFaults    = 25
)

func main() {
	seed, seeds := 0, 1
	dir, bin, quic := "", "bin", false
	cfg := soak.Config{Balancers: defaultBalancers, Agents: defaultAgents, Clients: defaultClients, Faults: defaultFaults}
	p := process.NewParser("poppywall-soak", "Runs a front under faults and checks its promises.")
	p.Int(&seed, "s", "seed", "First seed; 0 draws one.")
	p.Int(&seeds, "n", "seeds", "Number of seeds.")
	p.Int(&cfg.Balancers, "", "balancers", "Balancers of a site.")
	p.Int(&cfg.Agents, "", "agents", "Agents, each with a host.")
	p.Int(&cfg.Clients, "", "clients", "Client machines.")
	p.Int(&cfg.Faults, "", "faults", "Faults of a run.")
	p.Int(&cfg.Reuses, "", "reuses", "Addresses that go to another service beside a running agent, besides the faults.")
	p.Int(&cfg.AddressSlot, "", "slot", "Keeps the addresses of runs at the same time apart, 0 to 100.")
	p.Bool(&quic, "q", "quic", "Run the QUIC front; the packet front by default.")
	p.String(&dir, "d", "dir", "Where settings and logs go; a temporary folder by default.")
	p.String(&bin, "b", "bin", "Folder of the binaries.")
	if err := p.ParseArgs(os.Args[1:]); err != nil {
		process.Fail(process.ExitUsage, err)
	}
	if seed == 0 {
		seed = 1 + rand.IntN(1<<30)
	}
	if dir == "" {
		dir = filepath.Join(os.TempDir(), "poppywall-soak")
	}
	front := soak.Run
	if quic {
		front = soak.RunQUIC
	}
	os.Exit(run(front, cfg, bin, dir, seed, seeds))
}

// run runs the front once per seed, prints a report and the violations of each run, and
// returns the exit code. It keeps the logs of the runs with violations.
func run(front func(soak.Config) (soak.Report, error), cfg soak.Config, bin, dir string, seed, seeds int) int {
	failed := 0
	for i := range seeds {
		cfg.Seed = uint64(seed + i)
		cfg.Bin = bin
		cfg.Dir = filepath.Join(dir, fmt.Sprintf("seed-%d", cfg.Seed))
		if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
			process.Fail(process.ExitFailure, err)
		}
		report, err := front(cfg)
		if err != nil {
			process.Fail(process.ExitFailure, err)
		}
		fmt.Printf("seed %d: %d requests, %d refused, %d resets, %d unanswered, %d violations\n",
			report.Seed, report.Requests, report.Refused, report.Resets, report.Unanswered, len(report.Violations))
		if len(report.Violations) == 0 {
			_ = os.RemoveAll(cfg.Dir)
			continue
		}
		failed++
		for _, v := range report.Violations {
			fmt.Println("  ", v)
		}
		for _, line := range report.Events {
			fmt.Println("      ", line)
		}
		fmt.Printf("   reproduce with: poppywall-soak --seed %d and the same flags; logs in %s\n", cfg.Seed, cfg.Dir)
	}
	fmt.Printf("%d passed, %d failed\n", seeds-failed, failed)
	if failed > 0 {
		return process.ExitFailure
	}
	return process.ExitOK
}
