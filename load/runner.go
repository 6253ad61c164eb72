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
	// eventIntervalMillis is the interval of events requested for board streams.
	eventIntervalMillis = 200
	// streamSilenceTimeout is how long a stream may send no event before it counts
	// as broken.
	streamSilenceTimeout = 15 * time.Second
	// completionTimeout bounds the time that unfinished requests may take after
	// the end of the plan.
	completionTimeout  = 20 * time.Second
	defaultConnections = 16
	moveBody           = "e2e4"
	headerTimeout      = "Poppywall-Timeout-Ms"
	headerRequestID    = "Request-Id"
	headerTarget       = "Target-Name"
)

// runner executes one plan.
type runner struct {
	plan  Plan
	site  Site
	rec   *recorder
	start time.Time
	wg    conc.WaitGroup
}

// Run offers the plan's load to the site, injects its faults and returns the
// results measured by the callers.
func Run(ctx context.Context, plan Plan, site Site) (Summary, error) {
	if err := plan.Check(); err != nil {
		return Summary{}, err
	}
	r := &runner{plan: plan, site: site, rec: newRecorder(), start: time.Now()}
	arrivalsCtx, stop := context.WithTimeout(ctx, seconds(plan.Seconds))
	defer stop()
	requestsCtx, cancel := context.WithTimeout(ctx, seconds(plan.Seconds)+completionTimeout)
	defer cancel()
	offered := map[string]float64{}
	for i, w := range plan.Workloads {
		if w.Kind != Board {
			offered[workspaceOf(w)] += w.PerSecond
		}
		rnd := rand.New(rand.NewPCG(plan.Seed, uint64(i)))
		r.wg.Go(func() { r.runWorkload(arrivalsCtx, requestsCtx, w, rnd) })
	}
	r.wg.Go(func() { r.sampleStreams(arrivalsCtx) })
	r.wg.Go(func() { r.injectFaults(arrivalsCtx) })
	r.wg.Wait()
	return r.rec.summarize(plan.WarmupSeconds, offered), ctx.Err()
}

// workspaceOf returns the workspace that the requests of a workload count for. A
// workload without one counts for its service.
func workspaceOf(w Workload) string {
	if w.Workspace != "" {
		return w.Workspace
	}
	return w.Service
}

// runWorkload starts requests or streams at their intended times, regardless of
// how long earlier ones take, until arrivalsCtx ends. requestsCtx bounds their
// completion.
func (r *runner) runWorkload(arrivalsCtx, requestsCtx context.Context, w Workload, rnd *rand.Rand) {
	var wg conc.WaitGroup
	defer wg.Wait()
	callers, err := r.newCallers(w)
	if err != nil {
		r.rec.recordRequest(requestResult{class: string(w.Kind), err: err})
		return
	}
	defer closeAll(callers)
	next := time.Now()
	for n := 0; ; n++ {
		if n >= w.Burst {
			next = next.Add(seconds(rnd.ExpFloat64() / w.PerSecond))
		}
		if !sleepUntil(arrivalsCtx, next) {
			break
		}
		intended := next
		length := seconds(rnd.ExpFloat64() * w.MeanSeconds)
		wg.Go(func() {
			if w.Kind == Board {
				r.runBoard(arrivalsCtx, requestsCtx, w, length)
				return
			}
			r.sendRequest(requestsCtx, w, callers[n%len(callers)], intended)
		})
	}
	wg.Wait()
}

// newCallers returns the callers whose connections the requests of a workload
// share. A board workload has none, as each stream uses its own connection.
func (r *runner) newCallers(w Workload) ([]*Caller, error) {
	if w.Kind == Board {
		return nil, nil
	}
	n := w.Connections
	if n == 0 {
		n = defaultConnections
	}
	var out []*Caller
	for range n {
		c, err := r.site.NewCaller(w.Service, w.Workspace)
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

// sleepUntil waits until t and reports whether it came before ctx ended.
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

// sendRequest sends one request and records its outcome. A move or a hold must be
// answered with its own body.
func (r *runner) sendRequest(ctx context.Context, w Workload, c *Caller, intended time.Time) {
	result := requestResult{class: string(w.Kind), service: w.Service, workspace: workspaceOf(w)}
	method, path, body := requestOf(w)
	header := http.Header{headerRequestID: {uuid.NewString()}}
	if w.TimeoutMillis > 0 {
		header.Set(headerTimeout, strconv.Itoa(w.TimeoutMillis))
	}
	resp, err := c.Do(ctx, method, path, bodyReader(body), header)
	if err != nil {
		result.verdict, result.err = classifyError(err)
		r.rec.recordRequest(result)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	result.status, result.latency, result.err = resp.StatusCode, time.Since(intended), err
	result.verdict = verdict.Parse(resp.Header.Get(verdict.HeaderVerdict))
	result.target = resp.Header.Get(headerTarget)
	if err == nil && result.status == http.StatusOK && (w.Kind == Move || w.Kind == Hold) && !bytes.Equal(answer, body) {
		result.err = errors.New("answer does not match the request body")
	}
	r.rec.recordRequest(result)
}

// classifyError returns the verdict for a failed request. H3_REQUEST_REJECTED (RFC
// 9114, section 8.1) means that the server did not process the request and is not
// an error; any other failure leaves the outcome unknown.
func classifyError(err error) (verdict.Verdict, error) {
	var h3 *http3.Error
	if errors.As(err, &h3) && h3.ErrorCode == http3.ErrCodeRequestRejected {
		return verdict.NotRun, nil
	}
	return verdict.Unknown, err
}

func bodyReader(body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return bytes.NewReader(body)
}

// requestOf returns the method, path and body of a request of the workload.
func requestOf(w Workload) (method, path string, body []byte) {
	switch w.Kind {
	case Upload:
		return http.MethodPost, "/upload", make([]byte, w.Bytes)
	case Catalogue:
		return http.MethodGet, "/catalogue", nil
	case Hold:
		return http.MethodPost, "/hold", []byte("gown " + uuid.NewString())
	default:
		return http.MethodPost, "/move", []byte(moveBody + uuid.NewString())
	}
}

// runBoard keeps one stream open for the given length, or until the plan ends, and
// checks that every event arrives in order.
func (r *runner) runBoard(arrivalsCtx, requestsCtx context.Context, w Workload, length time.Duration) {
	c, err := r.site.NewCaller(w.Service, w.Workspace)
	if err != nil {
		r.rec.recordStream(false, 0, err)
		return
	}
	defer c.Close()
	requestedAt := time.Now()
	ctx, cancel := context.WithCancel(requestsCtx)
	defer cancel()
	path := "/board?intervalMillis=" + strconv.Itoa(eventIntervalMillis)
	resp, err := c.Do(ctx, http.MethodGet, path, nil, http.Header{"Accept": {"text/event-stream"}})
	if err != nil {
		r.rec.recordStream(false, 0, errors.Wrap(err, "open stream"))
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		refused := verdict.Parse(resp.Header.Get(verdict.HeaderVerdict)) == verdict.NotRun
		r.rec.recordStream(refused, 0, errors.Errorf("open stream: unexpected status %d", resp.StatusCode))
		return
	}
	openTime := time.Since(requestedAt)
	ended := afterLength(arrivalsCtx, length)
	r.rec.recordStream(false, openTime, watchStream(ctx, cancel, resp.Body, ended))
}

// afterLength returns a channel that is closed after the given length or at the
// end of the plan, whichever is earlier.
func afterLength(arrivalsCtx context.Context, length time.Duration) <-chan struct{} {
	ctx, cancel := context.WithTimeout(arrivalsCtx, length)
	done := make(chan struct{})
	context.AfterFunc(ctx, func() {
		cancel()
		close(done)
	})
	return done
}

// watchStream reads events until ended is closed, and then one more, so that a
// stream that fell silent before is detected. An early end, a gap in the events or
// a silence of streamSilenceTimeout is an error.
func watchStream(ctx context.Context, cancel context.CancelFunc, body io.Reader, ended <-chan struct{}) error {
	result := make(chan error, 1)
	received := make(chan struct{})
	go func() { result <- readEvents(ctx, body, received) }()
	silence := time.NewTimer(streamSilenceTimeout)
	defer silence.Stop()
	lengthReached := false
	for {
		select {
		case <-ended:
			lengthReached, ended = true, nil
		case err := <-result:
			return err
		case <-received:
			if lengthReached {
				cancel()
				return nil
			}
			silence.Reset(streamSilenceTimeout)
		case <-silence.C:
			cancel()
			return errors.New("no event before the silence timeout")
		case <-ctx.Done():
			return nil
		}
	}
}

// readEvents reads events, sends on received for each, and returns an error if an
// event ID is not the next one or the stream ends. The stand-in target does not
// end its streams by itself.
func readEvents(ctx context.Context, body io.Reader, received chan<- struct{}) error {
	lines := bufio.NewScanner(body)
	want := 0
	for lines.Scan() {
		id, ok := strings.CutPrefix(lines.Text(), "id: ")
		if !ok {
			continue
		}
		if id != strconv.Itoa(want) {
			return fmt.Errorf("out-of-order event: got ID %s, want %d", id, want)
		}
		want++
		select {
		case received <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Wrapf(err, "read stream after %d events", want)
	}
	return errors.Errorf("stream ended early after %d events", want)
}

// sampleStreams samples the open streams of each service with a board workload
// every samplePeriod.
func (r *runner) sampleStreams(ctx context.Context) {
	services := map[string]bool{}
	for _, w := range r.plan.Workloads {
		if w.Kind == Board {
			services[w.Service] = true
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
	r.rec.addSample(Sample{
		AtSeconds: time.Since(r.start).Seconds(),
		Service:   service,
		Open:      total,
		Spread:    SpreadOf(open),
	})
}

// injectFaults applies the plan's faults in order, each at its time.
func (r *runner) injectFaults(ctx context.Context) {
	for _, f := range r.plan.Faults {
		if !sleepUntil(ctx, r.start.Add(seconds(f.AtSeconds))) {
			return
		}
		if err := r.site.Inject(f); err != nil {
			r.rec.recordRequest(requestResult{class: "fault " + string(f.Kind), err: err})
		}
	}
}
