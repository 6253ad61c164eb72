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

// caller keeps a QUIC connection to one service open and sends moves on it: requests
// to /move, which must not run twice.
type caller struct {
	site    *quicSite
	rec     *recorder
	id      int
	service int
	rnd     *rand.Rand

	// conn is the current connection, openedAt when it was made, and agent the agent
	// that answered on it, nil before its first answer.
	conn     *load.Caller
	openedAt time.Time
	agent    *quicAgent

	// moves is the number of moves sent. answered holds the IDs of those that were
	// answered, notRun of those that were reported as not run.
	moves            int
	answered, notRun []string
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

// run sends moves until done is closed.
func (c *caller) run(done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(c.nextPause(c.connectAhead())):
		}
		// Simulates that a caller leaves and another one connects.
		if c.rnd.IntN(meanMovesPerConnection) == 0 {
			c.disconnect()
		}
		if !c.move(requestTimeout) {
			c.disconnect()
		}
	}
}

// Some pauses between two moves are as long as maxPause: a connection stays open for as long as its
// ends keep it alive.
const (
	maxPause          = 15 * time.Second
	meanMovesPerPause = 100
	// connectionsPerAhead is the mean number of connections for each one that is opened ahead of
	// its first move.
	connectionsPerAhead = 16
)

// nextPause returns the pause before the next move; ahead is set if its connection was opened ahead.
func (c *caller) nextPause(ahead bool) time.Duration {
	if ahead || (c.conn != nil && c.rnd.IntN(meanMovesPerPause) == 0) {
		return time.Duration(c.rnd.Int64N(int64(maxPause)))
	}
	return time.Duration(c.rnd.IntN(60)) * time.Millisecond
}

// meanMovesPerConnection is the mean number of moves on a connection that does not
// fail.
const meanMovesPerConnection = 40

func (c *caller) disconnect() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn, c.agent = nil, nil
}

// connect opens a connection if there is none.
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

// connectAhead opens some connections ahead of their first move and reports whether it did. One that
// fails is opened again by the move.
func (c *caller) connectAhead() bool {
	if c.conn != nil || c.rnd.IntN(connectionsPerAhead) > 0 || c.connect() != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	if err := c.conn.Connect(ctx); err != nil {
		c.rec.increment(&c.rec.report.Unanswered)
		c.disconnect()
		return false
	}
	return true
}

// move sends a move and checks its answer. It reports whether the connection is still
// usable.
func (c *caller) move(timeout time.Duration) bool {
	if err := c.connect(); err != nil {
		c.rec.addViolation("caller %d: %v", c.id, err)
		return false
	}
	c.moves++
	id := fmt.Sprintf("m%d-%d", c.id, c.moves)
	body := strings.Repeat(id+" ", 1+c.rnd.IntN(400))
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	resp, err := c.conn.Do(ctx, http.MethodPost, "/move", strings.NewReader(body), http.Header{standin.HeaderRequestID: {id}})
	if err != nil {
		return c.handleFailure(ctx, id, startedAt, err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return c.handleFailure(ctx, id, startedAt, err)
	}
	c.checkAnswer(id, body, string(answer), resp)
	return true
}

// checkAnswer checks an answer and records it.
func (c *caller) checkAnswer(id, body, answer string, resp *http.Response) {
	if verdict.Parse(resp.Header.Get(verdict.HeaderVerdict)) == verdict.NotRun {
		c.notRun = append(c.notRun, id)
	}
	if target := resp.Header.Get(standin.HeaderTarget); target != "" {
		c.checkAgent(id, target)
	}
	if resp.StatusCode != http.StatusOK {
		c.rec.increment(&c.rec.report.Refused)
		return
	}
	c.rec.increment(&c.rec.report.Requests)
	c.answered = append(c.answered, id)
	if answer != body {
		c.rec.addViolation("move %s of %d bytes was answered with %d bytes", id, len(body), len(answer))
	}
}

// checkAgent checks which target answered. The name of a target consists of its
// service, its agent's host name and a number.
func (c *caller) checkAgent(id, target string) {
	nameParts := strings.Fields(target)
	if nameParts[0] != services[c.service] {
		c.rec.addViolation("move %s to %s was answered by %s", id, services[c.service], target)
		return
	}
	i := slices.IndexFunc(c.site.agents, func(n *quicAgent) bool { return n.host == nameParts[1] })
	n := c.site.agents[i]
	if n == c.agent {
		return
	}
	// Either this is the first answer, or the agent asked the caller to reconnect
	// and its library did so between two moves.
	if since := n.drainingSince(); !since.IsZero() && c.openedAt.Sub(since) > drainGrace {
		c.rec.addViolation("new connection at %s, which has been draining since %v", n.host, since)
	}
	c.agent = n
}

// handleFailure evaluates a move without a complete answer. It reports whether the
// connection is still usable. A move alone may fail only if its target misbehaves or
// ends, and a connection only if its agent is interrupted.
func (c *caller) handleFailure(ctx context.Context, id string, startedAt time.Time, err error) bool {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.rec.increment(&c.rec.report.Unanswered)
		return false
	}
	c.rec.increment(&c.rec.report.Resets)
	var h3 *http3.Error
	moveOnly := errors.As(err, &h3)
	if c.agent != nil && !c.agent.interruptedSince(c.openedAt) && !(moveOnly && c.agent.misbehavedSince(startedAt)) {
		c.rec.addViolation("move %s failed while %s is alive: %v", id, c.agent.host, err)
	}
	return moveOnly
}

// checkConnections sends a move on the open connection and one on a new connection.
// After the faults both have to be served.
func (c *caller) checkConnections() {
	connectionValid := c.agent != nil && !c.agent.interruptedSince(c.openedAt)
	if !c.isServed() && connectionValid && !c.agent.interruptedSince(c.openedAt) {
		c.rec.addViolation("caller %d's connection at %s is not served after the faults", c.id, c.agent.host)
	}
	c.disconnect()
	if !c.isServed() {
		c.rec.addViolation("caller %d's new connection is not served after the faults", c.id)
	}
	c.disconnect()
}

// isServed sends a move and reports whether it is answered within settledTimeout.
func (c *caller) isServed() bool {
	before := len(c.answered)
	return c.move(settledTimeout) && len(c.answered) > before
}

// checkExecutions compares the answers to moves with how often the moves ran.
func (c *caller) checkExecutions() {
	for i := range c.moves {
		id := fmt.Sprintf("m%d-%d", c.id, 1+i)
		if n := c.site.countExecutions(id); n > 1 {
			c.rec.addViolation("move %s ran %d times", id, n)
		}
	}
	for _, id := range c.notRun {
		if n := c.site.countExecutions(id); n > 0 {
			c.rec.addViolation("move %s was reported as not run, but ran", id)
		}
	}
	for _, id := range c.answered {
		if n := c.site.countExecutions(id); n != 1 {
			c.rec.addViolation("move %s was answered and ran %d times", id, n)
		}
	}
}
