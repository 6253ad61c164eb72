package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go/http3"

	"github.com/poppywall/poppywall/load"
	"github.com/poppywall/poppywall/standin"
	"github.com/poppywall/poppywall/verdict"
)

// caller keeps a QUIC connection to one service open and makes moves on it, which
// must not run twice.
type caller struct {
	site    *quicSite
	rec     *recorder
	id      int
	service int
	rnd     *rand.Rand

	// conn is the present connection, openedAt when it was made, holder the agent
	// that answered on it, nil before its first answer.
	conn     *load.Caller
	openedAt time.Time
	holder   *targetNode

	// asked counts the moves; done are those that were answered, notRun those that
	// were said not to have run.
	asked        int
	done, notRun []string
}

func newCallers(s *quicSite, rec *recorder) []*caller {
	var out []*caller
	for i := range s.cfg.Clients {
		out = append(out, &caller{
			site: s, rec: rec, id: i, service: i % len(services), rnd: rand.New(rand.NewPCG(s.cfg.Seed, uint64(100+i))),
		})
	}
	return out
}

// work makes moves until done.
func (c *caller) work(done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(c.rnd.IntN(60)) * time.Millisecond):
		}
		// Now and then a caller goes and another one comes.
		if c.rnd.IntN(meanMoves) == 0 {
			c.hangUp()
		}
		if !c.ask(patience) {
			c.hangUp()
		}
	}
}

// meanMoves is the mean number of moves on a connection.
const meanMoves = 40

func (c *caller) hangUp() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn, c.holder = nil, nil
}

// connect makes a connection unless there is one.
func (c *caller) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := load.NewCaller(c.site.addresses[c.service], authority(c.service), c.site.roots)
	if err != nil {
		return err
	}
	c.conn, c.openedAt = conn, time.Now()
	return nil
}

// ask makes a move and checks its answer; it tells whether the connection lives on.
func (c *caller) ask(patience time.Duration) bool {
	if err := c.connect(); err != nil {
		c.rec.violate("caller %d: %v", c.id, err)
		return false
	}
	c.asked++
	id := fmt.Sprintf("m%d-%d", c.id, c.asked)
	body := strings.Repeat(id+" ", 1+c.rnd.IntN(400))
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	resp, err := c.conn.Do(ctx, http.MethodPost, "/move", strings.NewReader(body), http.Header{standin.HeaderRequestID: {id}})
	if err != nil {
		return c.failed(ctx, id, began, err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return c.failed(ctx, id, began, err)
	}
	c.check(id, body, string(answer), resp)
	return true
}

// check compares an answer with what was asked.
func (c *caller) check(id, body, answer string, resp *http.Response) {
	if verdict.Parse(resp.Header.Get(verdict.HeaderVerdict)) == verdict.NotRun {
		c.notRun = append(c.notRun, id)
	}
	if target := resp.Header.Get(standin.HeaderTarget); target != "" {
		c.answeredBy(id, target)
	}
	if resp.StatusCode != http.StatusOK {
		c.rec.count(&c.rec.report.Refused)
		return
	}
	c.rec.count(&c.rec.report.Requests)
	c.done = append(c.done, id)
	if answer != body {
		c.rec.violate("move %s of %d bytes got an answer of %d", id, len(body), len(answer))
	}
}

// answeredBy checks which target answered. A target's name is its service, its
// agent's name and a number.
func (c *caller) answeredBy(id, target string) {
	words := strings.Fields(target)
	if words[0] != services[c.service] {
		c.rec.violate("move %s to %s was answered by %s", id, services[c.service], target)
		return
	}
	i := slices.IndexFunc(c.site.agents, func(n *targetNode) bool { return n.host == words[1] })
	n := c.site.agents[i]
	if n == c.holder {
		return
	}
	// The first answer, or the agent has asked the caller to go elsewhere, which
	// its library did between two moves.
	if since := n.drained(); !since.IsZero() && c.openedAt.Sub(since) > drainGrace {
		c.rec.violate("a new connection at %s, which drains since %v", n.host, since)
	}
	c.holder = n
}

// failed judges a move that got no whole answer; it tells whether the connection
// lives on. A move alone fails only with its target, and a connection lasts as long
// as its agent.
func (c *caller) failed(ctx context.Context, id string, began time.Time, err error) bool {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.rec.count(&c.rec.report.Silent)
		return false
	}
	c.rec.count(&c.rec.report.Resets)
	var h3 *http3.Error
	moveOnly := errors.As(err, &h3)
	if c.holder != nil && !c.holder.cutSince(c.openedAt) && !(moveOnly && c.holder.spoiltSince(began)) {
		c.rec.violate("move %s failed while %s lives: %v", id, c.holder.host, err)
	}
	return moveOnly
}

// finish asks once more on the open connection, and on a new one: after the faults
// both have to be served.
func (c *caller) finish() {
	held := c.holder != nil && !c.holder.cutSince(c.openedAt)
	if !c.served() && held && !c.holder.cutSince(c.openedAt) {
		c.rec.violate("caller %d's connection at %s is not served after the faults", c.id, c.holder.host)
	}
	c.hangUp()
	if !c.served() {
		c.rec.violate("caller %d's new connection is not served after the faults", c.id)
	}
	c.hangUp()
}

// served tells whether a move is answered in time.
func (c *caller) served() bool {
	before := len(c.done)
	return c.ask(calm) && len(c.done) > before
}

// checkRuns compares what callers were told with what ran.
func (c *caller) checkRuns() {
	for i := range c.asked {
		id := fmt.Sprintf("m%d-%d", c.id, 1+i)
		if n := c.site.runs(id); n > 1 {
			c.rec.violate("move %s ran %d times", id, n)
		}
	}
	for _, id := range c.notRun {
		if n := c.site.runs(id); n > 0 {
			c.rec.violate("move %s was said not to have run, and ran", id)
		}
	}
	for _, id := range c.done {
		if n := c.site.runs(id); n != 1 {
			c.rec.violate("move %s was answered and ran %d times", id, n)
		}
	}
}
