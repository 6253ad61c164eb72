package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/poppywall/poppywall/binaries/internal/process"
	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/control"
	"github.com/poppywall/poppywall/directory"
)

const (
	// maxConcurrentCalls is the maximum number of balancers queried at the same time.
	maxConcurrentCalls = 32
	waitPollInterval   = 200 * time.Millisecond
)

// balancerStatus is the status of a balancer, or the error of the query.
type balancerStatus struct {
	name, address string
	status        control.StatusReply
	err           error
}

// queryAny queries the balancers of the settings one after the other and returns the first
// response.
func (t *tool) queryAny(ctx context.Context) (control.StatusReply, error) {
	var lastErr error
	for _, address := range t.cfg.Balancers {
		var reply control.StatusReply
		lastErr = t.client.Call(ctx, address, control.MethodStatus, control.StatusRequest{Entries: true}, &reply)
		if lastErr == nil {
			return reply, nil
		}
	}
	return control.StatusReply{}, lastErr
}

// queryAll queries every live balancer that the first response lists, and returns their
// statuses by name, with the first response.
func (t *tool) queryAll(ctx context.Context) ([]balancerStatus, control.StatusReply, error) {
	first, err := t.queryAny(ctx)
	if err != nil {
		return nil, first, err
	}
	p := pool.NewWithResults[balancerStatus]().WithMaxGoroutines(maxConcurrentCalls)
	for _, b := range first.Balancers {
		p.Go(func() balancerStatus {
			v := balancerStatus{name: b.Name, address: b.Control.String()}
			v.err = t.client.Call(ctx, v.address, control.MethodStatus, control.StatusRequest{}, &v.status)
			return v
		})
	}
	statuses := p.Wait()
	slices.SortFunc(statuses, func(a, b balancerStatus) int { return strings.Compare(a.name, b.name) })
	return statuses, first, nil
}

// waitInForce waits until every live balancer has the revision in force, and returns the
// exit code.
func (t *tool) waitInForce(ctx context.Context, rev catalog.Revision) int {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.wait)
	defer cancel()
	for {
		statuses, _, err := t.queryAll(ctx)
		if err == nil && countNotInForce(statuses, rev) == 0 {
			fmt.Printf("in force on %d balancers\n", len(statuses))
			return process.ExitOK
		}
		select {
		case <-ctx.Done():
			fmt.Fprintf(os.Stderr, "accepted, but not yet in force on %d of %d balancers\n", countNotInForce(statuses, rev), len(statuses))
			return exitNotInForce
		case <-time.After(waitPollInterval):
		}
	}
}

// countNotInForce returns how many balancers have an older revision in force or did not
// respond.
func countNotInForce(statuses []balancerStatus, rev catalog.Revision) int {
	n := 0
	for _, v := range statuses {
		if v.err != nil || v.status.Revision < rev {
			n++
		}
	}
	return n
}

// status prints the services, the balancers and the hosts.
func (t *tool) status(ctx context.Context) int {
	statuses, first, err := t.queryAll(ctx)
	if err != nil {
		process.Fail(process.ExitFailure, err)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tID\tADDRESS\tHOSTS\tREADY SLOTS")
	for _, s := range first.Services {
		fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\n", s.Name, s.ID, s.Address, s.Hosts, s.Slots)
	}
	fmt.Fprintln(w, "\nBALANCER\tZONE\tREVISION\tROLE\tSTATE")
	for _, v := range statuses {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", v.name, v.status.Self.Zone, v.status.Revision, balancerRole(&v), balancerState(&v))
	}
	fmt.Fprintln(w, "\nHOST\tZONE\tDATA\tSTATE\tREADY SLOTS")
	for _, e := range first.Entries {
		if e.Kind == directory.KindHost {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", e.Name, e.Zone, e.Data, hostState(&e), readySlots(&e))
		}
	}
	_ = w.Flush()
	return process.ExitOK
}

func balancerRole(v *balancerStatus) string {
	if v.status.Feeder {
		return "feeder"
	}
	return "-"
}

func balancerState(v *balancerStatus) string {
	switch {
	case v.err != nil:
		return "no answer"
	case v.status.Leaving:
		return "leaving"
	default:
		return "serving"
	}
}

func hostState(e *directory.Entry) string {
	switch {
	case e.Status == directory.Suspect:
		return "suspect"
	case e.Status == directory.Gone:
		return "gone"
	case e.Status == directory.Left:
		return "left"
	case readySlots(e) == 0:
		return "draining"
	default:
		return "serving"
	}
}

// readySlots returns the slots that a host offers, over all services.
func readySlots(e *directory.Entry) int {
	n := 0
	for _, o := range e.Offers {
		n += int(o.Slots)
	}
	return n
}
