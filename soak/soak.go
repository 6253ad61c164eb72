package soak

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/platform/platformtest"
)

// Config is one run.
type Config struct {
	// Bin holds the binaries, Dir takes settings and logs.
	Bin, Dir string
	Seed     uint64
	// Slot keeps the addresses of runs at the same time apart, 0 to 100.
	Slot              int
	Balancers, Agents int
	Clients           int
	// Faults is how many faults come one after the other, some overlapping.
	Faults int
}

// Report is the outcome of a run.
type Report struct {
	Seed uint64
	// Journal says what was injected when.
	Journal []string
	// Requests were answered, Refused were answered by an error; Resets and Silent
	// are flows that ended otherwise for a reason that the promises allow.
	Requests, Refused, Resets, Silent int
	// Violations are broken promises.
	Violations []string
}

// recorder collects what the clients see.
type recorder struct {
	// mu guards report.
	mu     sync.Mutex
	report Report
	began  time.Time
}

// note adds a line to the journal.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.began).Seconds()
	r.report.Journal = append(r.report.Journal, fmt.Sprintf("%7.3f  ", at)+fmt.Sprintf(format, args...))
}

func (r *recorder) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.began).Seconds()
	r.report.Violations = append(r.report.Violations, fmt.Sprintf("%7.3f  ", at)+fmt.Sprintf(format, args...))
}

func (r *recorder) count(c *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*c++
}

// Times of a run.
const (
	// startTime is how long a deployment may take to be in rotation.
	startTime = 20 * time.Second
	// settle is how long after the last fault everything has to work again.
	settle = 6 * time.Second
	// emptyWatch is how long zones that stay emptied are looked at after that.
	emptyWatch = 1500 * time.Millisecond
	// patience is how long a request may take under faults, and calm at the end.
	patience = 8 * time.Second
	calm     = 3 * time.Second
	// configTime is how long an accepted configuration may take.
	configTime = 3 * time.Second
)

// Run runs one seed. An error is a failure of the run itself.
func Run(cfg Config) (Report, error) {
	rec := &recorder{report: Report{Seed: cfg.Seed}, began: time.Now()}
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
			c.work(done)
		}()
	}
	inject(s, cfg, packetFaults, rand.New(rand.NewPCG(cfg.Seed, 1)), rec)
	time.Sleep(settle)
	settled := time.Now()
	time.Sleep(emptyWatch)
	checkEmptied(s, settled, rec)
	close(done)
	wg.Wait()
	for _, c := range clients {
		c.finish()
	}
	checkConfig(s, clients[0], rec)
	for _, n := range s.agents {
		if h := n.current(); h != nil && h.LateSYNs() > 0 {
			rec.violate("%d new flows at target %s after its drain was acknowledged", h.LateSYNs(), h.ID)
		}
	}
	return rec.report, nil
}

func (s *site) waitInRotation() error {
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if s.routers.InRotation() == len(s.balancers) {
			return nil
		}
	}
	return errors.New("the balancers did not become ready")
}

// client keeps flows to one service open and asks on them.
type client struct {
	site    *site
	rec     *recorder
	id      int
	service int
	rnd     *rand.Rand
	machine *platformtest.Client
	flows   []*platformtest.Flow
	asked   int
}

func newClients(s *site, rec *recorder) ([]*client, error) {
	var out []*client
	for i := range s.cfg.Clients {
		addr := netip.AddrPortFrom(s.cfg.address(kindClient, i), portData)
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

// flowsEach is how many flows a client keeps open.
const flowsEach = 4

// work opens flows and asks on them until done.
func (c *client) work(done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(c.rnd.IntN(60)) * time.Millisecond):
		}
		if len(c.flows) < flowsEach {
			c.open()
			continue
		}
		i := c.rnd.IntN(len(c.flows))
		if !c.ask(c.flows[i], patience) {
			c.flows = append(c.flows[:i], c.flows[i+1:]...)
		}
	}
}

func (c *client) open() {
	f, err := c.machine.Open(front(c.service))
	if err != nil {
		c.rec.count(&c.rec.report.Silent)
		return
	}
	if c.ask(f, patience) {
		c.flows = append(c.flows, f)
	}
}

// ask sends a request and checks its answer; it tells whether the flow lives on.
func (c *client) ask(f *platformtest.Flow, patience time.Duration) bool {
	c.asked++
	body := fmt.Sprintf("c%d-%d", c.id, c.asked)
	answer, err := f.Request(body, patience)
	switch {
	case errors.Is(err, platformtest.ErrReset):
		c.rec.count(&c.rec.report.Resets)
		if h := c.site.holder(f.Key); h != nil {
			c.rec.violate("flow %v was reset while its target %s lives", f.Key, h.ID)
		}
		return false
	case err != nil:
		c.rec.count(&c.rec.report.Silent)
		return false
	}
	c.rec.count(&c.rec.report.Requests)
	if !strings.HasPrefix(answer, services[c.service]+" ") || !strings.HasSuffix(answer, " "+body) {
		c.rec.violate("client %d asked %q of %s and got %q", c.id, body, services[c.service], answer)
	}
	return true
}

// holder returns the target that lives and holds a flow.
func (s *site) holder(key flow.Key) *platformtest.Target {
	for _, n := range s.agents {
		if h := n.current(); h != nil && h.HasOpenFlow(key) {
			return h
		}
	}
	return nil
}

// finish asks once more on every open flow: after the faults each flow whose
// target lives has to be served.
func (c *client) finish() {
	for _, f := range c.flows {
		h := c.site.holder(f.Key)
		if !c.ask(f, calm) && h != nil && c.site.holder(f.Key) == h {
			c.rec.violate("flow %v at target %s is not served after the faults", f.Key, h.ID)
		}
	}
	c.machine.Close()
}

// checkConfig writes a configuration and opens a flow of its new route through
// every balancer.
func checkConfig(s *site, _ *client, rec *recorder) {
	if err := s.putConfig(); err != nil {
		rec.violate("configuration: %v", err)
		return
	}
	time.Sleep(configTime)
	for i, b := range s.balancers {
		members := []platformtest.Balancer{{
			Data: netip.AddrPortFrom(b.addr, portData), Ready: netip.AddrPortFrom(b.addr, portReady),
		}}
		one, err := platformtest.NewRouters(members, 1)
		if err != nil {
			rec.violate("routers: %v", err)
			return
		}
		machine, err := platformtest.NewClient(netip.AddrPortFrom(s.cfg.address(kindClient, 200+i), portData), one.Send)
		if err != nil {
			rec.violate("client: %v", err)
			return
		}
		if _, err := machine.Open(extraFront(s.version)); err != nil {
			rec.violate("%s: the route of version %d is not in force: %v", b.name, s.version, err)
		}
		machine.Close()
		one.Close()
	}
}
