// Command poppywall-measure runs the measurements whose results docs/DESIGN.md and
// docs/CAPACITY.md quote.
package main

import (
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/poppywall/poppywall/binaries/internal/process"
	"github.com/poppywall/poppywall/measure"
	"github.com/poppywall/poppywall/model"
)

func main() {
	p := process.NewParser("poppywall-measure", "Measurements over the decisions and the costs of control.")
	runs := map[*flaggy.Subcommand]func(io.Writer) error{}
	add := func(name, description string, run func(io.Writer) error) *flaggy.Subcommand {
		sub := flaggy.NewSubcommand(name)
		sub.Description = description
		p.AttachSubcommand(sub, 1)
		runs[sub] = run
		return sub
	}
	balancers := 0
	add("choice", "Policies for the choice of host.", measure.PrintChoice)
	add("overload", "Goodput under overload and retries.", measure.PrintOverload)
	add("ejection", "Judges for the ejection of failing targets.", measure.PrintEjection)
	add("costs", "Memory and processor time of a balancer's state (part of capacity).", measure.PrintCosts)
	add("relay", "Datagrams a second through a balancer against a bare relay.", measure.PrintRelay)
	add("packets", "Packets a second through the packet front against a bare relay.", measure.PrintPackets)
	binary := "bin/poppywall-balancer"
	startup := add("startup", "Time and processor time of a packet front's start.", func(w io.Writer) error { return measure.PrintStartup(w, binary) })
	startup.String(&binary, "b", "binary", "The balancer's binary.")
	add("mesh", "Cost of the packet front's control over the size of the fleet, in the model.", model.PrintMesh)
	fleet := add("fleet", "Cost of control and time to agree of real balancers (part of capacity).", measure.PrintFleet)
	var flags modelFlags
	flags.attach(add("model", "Load and faults on a simulated deployment: what callers get.", flags.run))
	add("capacity", "Costs of control over the size of the fleet.", measure.PrintCapacity)
	fleet.Int(&balancers, "n", "balancers", "Only this number of balancers.")
	if err := p.ParseArgs(os.Args[1:]); err != nil {
		process.Fail(process.ExitUsage, err)
	}
	if balancers > 0 {
		measure.FleetSizes = []int{balancers}
	}
	for sub, run := range runs {
		if !sub.Used {
			continue
		}
		if err := run(os.Stdout); err != nil {
			process.Fail(process.ExitFailure, err)
		}
		return
	}
	p.ShowHelpAndExit("say what to measure")
}
