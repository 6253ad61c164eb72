package soak

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/platform/platformtest"
)

// Config configures a run.
type Config struct {
	// Bin is the directory of the binaries, Dir the one for settings and logs.
	Bin, Dir string
	Seed     uint64
	// AddressSlot selects the loopback addresses, 0 to 100. Concurrent runs need different
	// slots.
	AddressSlot       int
	Balancers, Agents int
	Clients           int
	// Faults is the number of faults to inject. They start one after the other, and
	// some overlap.
	Faults int
	// Reuses is the number of addresses that go to another service's target beside a running agent, in
	// addition to Faults; packet front only.
	Reuses int
}

// Report is the outcome of a run.
type Report struct {
	Seed uint64
	// Events lists the injected faults with their times.
	Events []string
	// Requests is the number of answered requests and Refused of those answered with
	// an error. Resets and Unanswered are flows or requests that ended with a reset or
	// without an answer; where the guarantees do not allow that, there is a violation
	// as well.
	Requests, Refused, Resets, Unanswered int
	// Violations are the violated guarantees.
	Violations []string
}

// recorder collects the report from the clients and the fault injection.
type recorder struct {
	// mu guards report.
	mu        sync.Mutex
	report    Report
	startedAt time.Time
}

// logEvent adds an event with its time to the report.
func (r *recorder) logEvent(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.startedAt).Seconds()
	r.report.Events = append(r.report.Events, fmt.Sprintf("%7.3f  ", at)+fmt.Sprintf(format, args...))
}

// addViolation adds a violated guarantee with its time to the report.
func (r *recorder) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.startedAt).Seconds()
	r.report.Violations = append(r.report.Violations, fmt.Sprintf("%7.3f  ", at)+fmt.Sprintf(format, args...))
}

func (r *recorder) increment(c *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*c++
}

// Durations of a run.
const (
	// startTimeout is how long the balancers may take to become ready.
	startTimeout = 20 * time.Second
	// settleTime is the time after the last fault within which the system has to
	// recover.
	settleTime = 6 * time.Second
	// evacuationWatch is how long zones that stay evacuated are observed after settleTime.
	evacuationWatch = 1500 * time.Millisecond
	// requestTimeout is the timeout of a request under faults, settledTimeout the timeout
	// of a request after settleTime.
	requestTimeout = 8 * time.Second
	settledTimeout = 3 * time.Second
	// configTimeout is how long an accepted configuration may take to be in force.
	configTimeout = 3 * time.Second
)

// Run runs one seed against the packet front. An error means that the run itself
// failed.
func Run(cfg Config) (Report, error) {
	rec := &recorder{report: Report{Seed: cfg.Seed}, startedAt: time.Now()}
	s, err := newSite(cfg)
	if err != nil {
		return rec.report, err
	}
	defer s.stop()
	if err := s.waitInRotation(); err != nil {
		return rec.report, err
	}
	clients, err := newClients(s, rec)
	if err != nil {
		return rec.report, err
	}
	var wg sync.WaitGroup
	done := make(chan struct{})
	for _, c := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.run(done)
		}()
	}
	reuser := newAddressReuser(s, cfg, rec)
	injectFaults(s, cfg, packetFaults, rand.New(rand.NewPCG(cfg.Seed, 1)), rec, reuser.step)
	reuser.finish()
	time.Sleep(settleTime)
	settledAt := time.Now()
	time.Sleep(evacuationWatch)
	checkEvacuated(s, settledAt, rec)
	close(done)
	wg.Wait()
	for _, c := range clients {
		c.checkOpenFlows()
	}
	checkConfig(s, clients[0], rec)
	for _, n := range s.agents {
		if target := n.currentTarget(); target != nil && target.LateSYNs() > 0 {
			rec.addViolation("%d new flows at target %s after its drain was acknowledged", target.LateSYNs(), target.ID)
		}
	}
	return rec.report, nil
}

func (s *site) waitInRotation() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if s.routers.InRotation() == len(s.balancers) {
			return nil
		}
	}
	return errors.New("the balancers did not become ready")
}

// client keeps flows to one service open and sends requests on them.
type client struct {
	site     *site
	rec      *recorder
	id       int
	service  int
	rnd      *rand.Rand
	machine  *platformtest.Client
	flows    []*openFlow
	requests int
}

// openFlow is a flow of a client, which sends its next request after pausedUntil.
type openFlow struct {
	*platformtest.Flow
	pausedUntil time.Time
}

func newClients(s *site, rec *recorder) ([]*client, error) {
	var out []*client
	for i := range s.cfg.Clients {
		addr := netip.AddrPortFrom(s.cfg.address(addrClient, i), portData)
		machine, err := platformtest.NewClient(addr, s.routers.Send)
		if err != nil {
			return nil, err
		}
		out = append(out, &client{
			site: s, rec: rec, id: i, service: i % len(services), machine: machine,
			rnd: rand.New(rand.NewPCG(s.cfg.Seed, uint64(100+i))),
		})
	}
	return out, nil
}

// A client keeps activeFlows flows in use, besides at most maxPausedFlows that pause.
const (
	activeFlows    = 4
	maxPausedFlows = 4
)

// meanRequestsPerPause is the mean number of requests of a flow before each of its pauses.
const meanRequestsPerPause = 4

// run opens flows and sends requests on them until done is closed.
func (c *client) run(done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(c.rnd.IntN(60)) * time.Millisecond):
		}
		if c.site.quiet.Load() {
			continue
		}
		active := c.activeFlows()
		if len(active) < activeFlows {
			c.openFlow()
			continue
		}
		f := active[c.rnd.IntN(len(active))]
		if !c.request(f.Flow, requestTimeout) {
			c.flows = slices.DeleteFunc(c.flows, func(o *openFlow) bool { return o == f })
			continue
		}
		c.pause(f)
	}
}

// activeFlows returns the flows that do not pause.
func (c *client) activeFlows() []*openFlow {
	now := time.Now()
	return slices.DeleteFunc(slices.Clone(c.flows), func(f *openFlow) bool { return now.Before(f.pausedUntil) })
}

// pause lets some flows pause before their next request, for up to the idle timeout.
func (c *client) pause(f *openFlow) {
	paused := len(c.flows) - len(c.activeFlows())
	if paused < maxPausedFlows && c.rnd.IntN(meanRequestsPerPause) == 0 {
		f.pausedUntil = time.Now().Add(time.Duration(c.rnd.Int64N(int64(flowIdleTimeout))))
	}
}

// openFlow opens a flow, which may pause before its first request.
func (c *client) openFlow() {
	f, err := c.machine.Open(frontOf(c.service))
	if err != nil {
		c.rec.increment(&c.rec.report.Unanswered)
		return
	}
	opened := &openFlow{Flow: f}
	c.flows = append(c.flows, opened)
	c.pause(opened)
}

// request sends a request and checks its answer. It reports whether the flow is still
// usable.
func (c *client) request(f *platformtest.Flow, timeout time.Duration) bool {
	c.requests++
	body := fmt.Sprintf("c%d-%d", c.id, c.requests)
	answer, err := f.Request(body, timeout)
	switch {
	case errors.Is(err, platformtest.ErrReset):
		c.rec.increment(&c.rec.report.Resets)
		if target := c.site.targetOfFlow(f.Key); target != nil {
			c.rec.addViolation("flow %v was reset while its target %s is alive", f.Key, target.ID)
		}
		return false
	case err != nil:
		c.rec.increment(&c.rec.report.Unanswered)
		return false
	}
	c.rec.increment(&c.rec.report.Requests)
	if !strings.HasPrefix(answer, services[c.service]+" ") || !strings.HasSuffix(answer, " "+body) {
		c.rec.addViolation("client %d sent %q to %s and received %q", c.id, body, services[c.service], answer)
	}
	return true
}

// targetOfFlow returns the running target at which a flow is open, or nil.
func (s *site) targetOfFlow(key flow.Key) *platformtest.Target {
	for _, n := range s.agents {
		if target := n.currentTarget(); target != nil && target.HasOpenFlow(key) {
			return target
		}
	}
	return nil
}

// checkOpenFlows sends a request on every open flow, also on those that pause. After the faults each flow whose
// target still runs has to be served.
func (c *client) checkOpenFlows() {
	for _, f := range c.flows {
		target := c.site.targetOfFlow(f.Key)
		if !c.request(f.Flow, settledTimeout) && target != nil && c.site.targetOfFlow(f.Key) == target {
			c.rec.addViolation("flow %v at target %s is not served after the faults", f.Key, target.ID)
		}
	}
	c.machine.Close()
}

// checkConfig writes a configuration and opens a flow of its new route through
// every balancer.
func checkConfig(s *site, _ *client, rec *recorder) {
	if err := s.putConfig(); err != nil {
		rec.addViolation("configuration: %v", err)
		return
	}
	time.Sleep(configTimeout)
	for i, b := range s.balancers {
		members := []platformtest.Balancer{{
			Data: netip.AddrPortFrom(b.addr, portData), Ready: netip.AddrPortFrom(b.addr, portReady),
		}}
		routers, err := platformtest.NewRouters(members, 1)
		if err != nil {
			rec.addViolation("routers: %v", err)
			return
		}
		machine, err := platformtest.NewClient(netip.AddrPortFrom(s.cfg.address(addrClient, 200+i), portData), routers.Send)
		if err != nil {
			rec.addViolation("client: %v", err)
			return
		}
		if _, err := machine.Open(versionFront(s.version)); err != nil {
			rec.addViolation("%s: the route of version %d is not in force: %v", b.name, s.version, err)
		}
		machine.Close()
		routers.Close()
	}
}
