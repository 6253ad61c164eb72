package load

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/quic-go/quic-go/http3"
	"github.com/sourcegraph/conc"

	"github.com/poppywall/poppywall/verdict"
)

const (
	samplePeriod = 250 * time.Millisecond
	// eventGap is the interval of board events asked of targets.
	eventGapMillis = 200
	// quiet is how long a stream may stay silent before it counts as broken.
	quiet = 15 * time.Second
	// grace is how long unfinished requests may take after the plan's end.
	grace              = 20 * time.Second
	defaultConnections = 16
	moveBody           = "e2e4"
	headerTimeout      = "Poppywall-Timeout-Ms"
	headerRequestID    = "Request-Id"
	headerTarget       = "Target-Name"
)

// runner runs one plan.
type runner struct {
	plan  Plan
	site  Site
	rec   *recorder
	start time.Time
	wg    conc.WaitGroup
}

// Run offers the plan's load to the site and returns what callers saw.
func Run(ctx context.Context, plan Plan, site Site) (Summary, error) {
	if err := plan.Check(); err != nil {
		return Summary{}, err
	}
	r := &runner{plan: plan, site: site, rec: newRecorder(), start: time.Now()}
	offering, stop := context.WithTimeout(ctx, seconds(plan.Seconds))
	defer stop()
	working, cancel := context.WithTimeout(ctx, seconds(plan.Seconds)+grace)
	defer cancel()
	offered := map[string]float64{}
	for i, f := range plan.Flows {
		if f.Kind != Board {
			offered[workspaceOf(f)] += f.PerSecond
		}
		rnd := rand.New(rand.NewPCG(plan.Seed, uint64(i)))
		r.wg.Go(func() { r.offer(offering, working, f, rnd) })
	}
	r.wg.Go(func() { r.sampleLoop(offering) })
	r.wg.Go(func() { r.faultLoop(offering) })
	r.wg.Wait()
	return r.rec.finish(plan.WarmupSeconds, offered), ctx.Err()
}

func workspaceOf(f Flow) string {
	if f.Workspace != "" {
		return f.Workspace
	}
	return f.Service
}

// offer makes arrivals at their intended times, however slow answers are.
func (r *runner) offer(offering, working context.Context, f Flow, rnd *rand.Rand) {
	var wg conc.WaitGroup
	defer wg.Wait()
	callers, err := r.callers(f)
	if err != nil {
		r.rec.request(answer{class: string(f.Kind), err: err})
		return
	}
	defer closeAll(callers)
	next := time.Now()
	for n := 0; ; n++ {
		if n >= f.Burst {
			next = next.Add(seconds(rnd.ExpFloat64() / f.PerSecond))
		}
		if !sleepUntil(offering, next) {
			break
		}
		intended := next
		length := seconds(rnd.ExpFloat64() * f.MeanSeconds)
		wg.Go(func() {
			if f.Kind == Board {
				r.board(offering, working, f, length)
				return
			}
			r.request(working, f, callers[n%len(callers)], intended)
		})
	}
	wg.Wait()
}

func (r *runner) callers(f Flow) ([]*Caller, error) {
	if f.Kind == Board {
		return nil, nil
	}
	n := f.Connections
	if n == 0 {
		n = defaultConnections
	}
	var out []*Caller
	for range n {
		c, err := r.site.NewCaller(f.Service, f.Workspace)
		if err != nil {
			closeAll(out)
			return nil, err
		}
		out = append(out, c)
	}
	return out, nil
}

func closeAll(callers []*Caller) {
	for _, c := range callers {
		c.Close()
	}
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// request sends one short request and checks its answer.
func (r *runner) request(ctx context.Context, f Flow, c *Caller, intended time.Time) {
	a := answer{class: string(f.Kind), service: f.Service, workspace: workspaceOf(f)}
	method, path, body := shape(f)
	header := http.Header{headerRequestID: {uuid.NewString()}}
	if f.TimeoutMillis > 0 {
		header.Set(headerTimeout, strconv.Itoa(f.TimeoutMillis))
	}
	resp, err := c.Do(ctx, method, path, reader(body), header)
	if err != nil {
		a.verdict, a.err = rejected(err)
		r.rec.request(a)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	a.status, a.took, a.err = resp.StatusCode, time.Since(intended), err
	a.verdict = verdict.Parse(resp.Header.Get(verdict.HeaderVerdict))
	a.target = resp.Header.Get(headerTarget)
	if err == nil && a.status == http.StatusOK && (f.Kind == Move || f.Kind == Hold) && !bytes.Equal(got, body) {
		a.err = errors.New("the answer is not the one to this request")
	}
	r.rec.request(a)
}

// rejected tells a request that the server says it did not look at (RFC 9114
// section 8.1, H3_REQUEST_REJECTED) from a failure.
func rejected(err error) (verdict.Verdict, error) {
	var h3 *http3.Error
	if errors.As(err, &h3) && h3.ErrorCode == http3.ErrCodeRequestRejected {
		return verdict.NotRun, nil
	}
	return verdict.Unknown, err
}

func reader(body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return bytes.NewReader(body)
}

func shape(f Flow) (method, path string, body []byte) {
	switch f.Kind {
	case Upload:
		return http.MethodPost, "/upload", make([]byte, f.Bytes)
	case Catalogue:
		return http.MethodGet, "/catalogue", nil
	case Hold:
		return http.MethodPost, "/hold", []byte("gown " + uuid.NewString())
	default:
		return http.MethodPost, "/move", []byte(moveBody + uuid.NewString())
	}
}

// board keeps one stream open for its length, or until the plan ends, and
// checks that every event comes in order.
func (r *runner) board(offering, working context.Context, f Flow, length time.Duration) {
	c, err := r.site.NewCaller(f.Service, f.Workspace)
	if err != nil {
		r.rec.stream(false, 0, err)
		return
	}
	defer c.Close()
	began := time.Now()
	ctx, cancel := context.WithCancel(working)
	defer cancel()
	path := "/board?intervalMillis=" + strconv.Itoa(eventGapMillis)
	resp, err := c.Do(ctx, http.MethodGet, path, nil, http.Header{"Accept": {"text/event-stream"}})
	if err != nil {
		r.rec.stream(false, 0, errors.Wrap(err, "open"))
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		refused := verdict.Parse(resp.Header.Get(verdict.HeaderVerdict)) == verdict.NotRun
		r.rec.stream(refused, 0, errors.Errorf("status %d", resp.StatusCode))
		return
	}
	opened := time.Since(began)
	ended := endOf(offering, length)
	r.rec.stream(false, opened, follow(ctx, cancel, resp.Body, ended))
}

// endOf returns a channel closed when the stream has lasted its length or the
// plan ends.
func endOf(offering context.Context, length time.Duration) <-chan struct{} {
	ctx, cancel := context.WithTimeout(offering, length)
	done := make(chan struct{})
	context.AfterFunc(ctx, func() {
		cancel()
		close(done)
	})
	return done
}

// follow reads events until ended and then one more: a stream that fell silent
// shows. An early end, a gap or a long silence is an error.
func follow(ctx context.Context, cancel context.CancelFunc, body io.Reader, ended <-chan struct{}) error {
	result := make(chan error, 1)
	beat := make(chan struct{})
	go func() { result <- readEvents(ctx, body, beat) }()
	silence := time.NewTimer(quiet)
	defer silence.Stop()
	over := false
	for {
		select {
		case <-ended:
			over, ended = true, nil
		case err := <-result:
			return err
		case <-beat:
			if over {
				cancel()
				return nil
			}
			silence.Reset(quiet)
		case <-silence.C:
			cancel()
			return errors.New("stream went silent")
		case <-ctx.Done():
			return nil
		}
	}
}

// readEvents checks that event IDs count up; the stand-in's streams never end
// by themselves.
func readEvents(ctx context.Context, body io.Reader, beat chan<- struct{}) error {
	lines := bufio.NewScanner(body)
	want := 0
	for lines.Scan() {
		id, ok := strings.CutPrefix(lines.Text(), "id: ")
		if !ok {
			continue
		}
		if id != strconv.Itoa(want) {
			return fmt.Errorf("event %s came, want %d", id, want)
		}
		want++
		select {
		case beat <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Wrapf(err, "after %d events", want)
	}
	return errors.Errorf("ended early after %d events", want)
}

func (r *runner) sampleLoop(ctx context.Context) {
	services := map[string]bool{}
	for _, f := range r.plan.Flows {
		if f.Kind == Board {
			services[f.Service] = true
		}
	}
	tick := time.NewTicker(samplePeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for s := range services {
			r.sampleService(s)
		}
	}
}

func (r *runner) sampleService(service string) {
	open := r.site.OpenStreams(service)
	total := 0.0
	for _, n := range open {
		total += n
	}
	r.rec.sample(Sample{
		AtSeconds: time.Since(r.start).Seconds(),
		Service:   service,
		Open:      total,
		Spread:    SpreadOf(open),
	})
}

func (r *runner) faultLoop(ctx context.Context) {
	for _, f := range r.plan.Faults {
		if !sleepUntil(ctx, r.start.Add(seconds(f.AtSeconds))) {
			return
		}
		if err := r.site.Inject(f); err != nil {
			r.rec.request(answer{class: "fault " + string(f.Kind), err: err})
		}
	}
}
