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
	// askAtOnce bounds the balancers asked at the same time.
	askAtOnce = 32
	waitPoll  = 200 * time.Millisecond
)

// view is one balancer's answer.
type view struct {
	name, address string
	status        control.StatusReply
	err           error
}

// first asks the balancers of the settings until one answers.
func (t *tool) first(ctx context.Context) (control.StatusReply, error) {
	var last error
	for _, address := range t.cfg.Balancers {
		var reply control.StatusReply
		last = t.client.Call(ctx, address, control.MethodStatus, control.StatusRequest{Entries: true}, &reply)
		if last == nil {
			return reply, nil
		}
	}
	return control.StatusReply{}, last
}

// all asks every live balancer that the first one knows.
func (t *tool) all(ctx context.Context) ([]view, control.StatusReply, error) {
	first, err := t.first(ctx)
	if err != nil {
		return nil, first, err
	}
	p := pool.NewWithResults[view]().WithMaxGoroutines(askAtOnce)
	for _, b := range first.Balancers {
		p.Go(func() view {
			v := view{name: b.Name, address: b.Control.String()}
			v.err = t.client.Call(ctx, v.address, control.MethodStatus, control.StatusRequest{}, &v.status)
			return v
		})
	}
	views := p.Wait()
	slices.SortFunc(views, func(a, b view) int { return strings.Compare(a.name, b.name) })
	return views, first, nil
}

// waitInForce waits until every live balancer reports the revision.
func (t *tool) waitInForce(ctx context.Context, rev catalog.Revision) int {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.wait)
	defer cancel()
	for {
		views, _, err := t.all(ctx)
		if err == nil && behind(views, rev) == 0 {
			fmt.Printf("in force on %d balancers\n", len(views))
			return process.ExitOK
		}
		select {
		case <-ctx.Done():
			fmt.Fprintf(os.Stderr, "accepted, but not yet in force on %d of %d balancers\n", behind(views, rev), len(views))
			return exitNotYet
		case <-time.After(waitPoll):
		}
	}
}

func behind(views []view, rev catalog.Revision) int {
	n := 0
	for _, v := range views {
		if v.err != nil || v.status.Revision < rev {
			n++
		}
	}
	return n
}

func (t *tool) status(ctx context.Context) int {
	views, first, err := t.all(ctx)
	if err != nil {
		process.Fail(process.ExitFailure, err)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tID\tADDRESS\tHOSTS\tREADY SLOTS")
	for _, s := range first.Services {
		fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\n", s.Name, s.ID, s.Address, s.Hosts, s.Slots)
	}
	fmt.Fprintln(w, "\nBALANCER\tZONE\tREVISION\tROLE\tSTATE")
	for _, v := range views {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", v.name, v.status.Self.Zone, v.status.Revision, role(&v), state(&v))
	}
	fmt.Fprintln(w, "\nHOST\tZONE\tDATA\tSTATE\tREADY SLOTS")
	for _, e := range first.Entries {
		if e.Kind == directory.KindHost {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", e.Name, e.Zone, e.Data, hostState(&e), slots(&e))
		}
	}
	_ = w.Flush()
	return process.ExitOK
}

func role(v *view) string {
	if v.status.Feeder {
		return "feeder"
	}
	return "-"
}

func state(v *view) string {
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
	case slots(e) == 0:
		return "draining"
	default:
		return "serving"
	}
}

func slots(e *directory.Entry) int {
	n := 0
	for _, o := range e.Offers {
		n += int(o.Slots)
	}
	return n
}
