package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/admission"
	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/route"
	"github.com/poppywall/poppywall/verdict"
)

const (
	// HeaderTimeout is the request header with the caller's timeout in
	// milliseconds, counted from the arrival of the request. The target
	// receives the remaining time.
	HeaderTimeout = "Poppywall-Timeout-Ms"
	// maxTimeout is the maximum value of HeaderTimeout.
	maxTimeout = 24 * time.Hour
	// largeBodyLen is the size in bytes from which the transfer time of a body
	// depends on the caller, so that the latency is not the target's own.
	largeBodyLen       = 64 << 10
	copyBufferLen      = 32 << 10
	eventStreamType    = "text/event-stream"
	headerForwardedFor = "X-Forwarded-For"
)

// proxy is the HTTP handler of one service.
type proxy struct {
	id         route.ServiceID
	service    func() *catalog.Service
	gate       *gate
	dispatcher *dispatcher
	metrics    *metrics
}

// ServeHTTP admits a request, sends it to a target and relays the response. If
// the response cannot be relayed completely, the stream is reset.
func (p *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	svc := p.service()
	workspace := workspaceOf(svc, r.Host)
	status, v := p.serve(w, r, svc, workspace, started)
	p.metrics.observe(svc.Name, workspace, v, status, time.Since(started))
}

func (p *proxy) serve(w http.ResponseWriter, r *http.Request, svc *catalog.Service, workspace string, now time.Time) (int, verdict.Verdict) {
	ctx, cancel, failed := p.prepare(r, svc, now)
	if failed != nil {
		failed.WriteResponse(w)
		return failed.Status, failed.Verdict
	}
	defer cancel()
	deadline, _ := ctx.Deadline()
	grant, err := p.gate.admit(ctx, admission.Offer{
		Service:   p.id,
		Workspace: workspace,
		Weight:    weightOf(svc, workspace),
		Class:     classOf(r),
		Deadline:  deadline,
	})
	if err != nil {
		return p.refuse(w, err)
	}
	return p.run(ctx, w, r, grant)
}

// prepare checks the request and applies the caller's deadline.
func (p *proxy) prepare(r *http.Request, svc *catalog.Service, now time.Time) (context.Context, context.CancelFunc, *verdict.Error) {
	if !svc.Allows(hostName(r.Host)) {
		return nil, nil, &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusMisdirectedRequest, Reason: "wrong-authority"}
	}
	if r.Method == http.MethodConnect {
		return nil, nil, &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusNotImplemented, Reason: "connect"}
	}
	timeout, err := parseTimeout(r.Header.Get(HeaderTimeout))
	if err != nil {
		return nil, nil, &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusBadRequest, Reason: "bad-timeout", Err: err}
	}
	if timeout == 0 {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	ctx, cancel := context.WithDeadline(r.Context(), now.Add(timeout))
	return ctx, cancel, nil
}

func parseTimeout(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return 0, errors.Errorf("%s must be 1 to %d", HeaderTimeout, maxTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func (p *proxy) refuse(w http.ResponseWriter, err error) (int, verdict.Verdict) {
	var e *verdict.Error
	if !errors.As(err, &e) {
		e = &verdict.Error{Verdict: verdict.Unknown, Status: http.StatusInternalServerError, Reason: "internal", Err: err}
	}
	e.WriteResponse(w)
	return e.Status, e.Verdict
}

// run sends an admitted request to its target and relays the response.
func (p *proxy) run(ctx context.Context, w http.ResponseWriter, r *http.Request, g *grant) (int, verdict.Verdict) {
	// The process may have been frozen since admission, so check the deadline
	// once more before anything is sent to the target.
	if cancelledOrExpired(ctx, time.Now()) {
		g.done(admission.Result{Outcome: admission.Cancelled})
		return p.refuse(w, notRunError(ctx))
	}
	out := p.outgoingRequest(ctx, r, g.address)
	resp, err := p.dispatcher.roundTrip(out)
	if err != nil {
		g.done(admission.Result{Outcome: outcomeOf(r)})
		return p.refuse(w, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if strings.HasPrefix(resp.Header.Get("Content-Type"), eventStreamType) {
		g.promote()
	}
	writeResponseHeader(w, resp)
	err = relayBody(w, resp)
	g.done(resultOf(ctx, r, resp, err))
	if err != nil {
		// Reset the stream, so that the caller detects the incomplete response.
		panic(http.ErrAbortHandler)
	}
	return resp.StatusCode, verdict.Ran
}

// cancelledOrExpired reports whether the request was cancelled or its deadline
// has passed. It compares the deadline with now, because the context's timer may
// not have fired yet right after the process was frozen.
func cancelledOrExpired(ctx context.Context, now time.Time) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || (ok && !now.Before(deadline))
}

func notRunError(ctx context.Context) error {
	e := &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Reason: "cancelled"}
	if !errors.Is(ctx.Err(), context.Canceled) {
		e.Status, e.Reason = http.StatusGatewayTimeout, string(admission.Deadline)
	}
	return e
}

// outgoingRequest returns the request to send to the target.
func (p *proxy) outgoingRequest(ctx context.Context, r *http.Request, address string) *http.Request {
	out := r.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = address
	out.RequestURI = ""
	out.Proto, out.ProtoMajor, out.ProtoMinor = "HTTP/1.1", 1, 1
	out.Header = http.Header{}
	copyEndToEndHeaders(out.Header, r.Header)
	if caller, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		out.Header.Set(headerForwardedFor, caller)
	}
	out.Header.Del(HeaderTimeout)
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(time.Until(deadline).Milliseconds(), 1)
		out.Header.Set(HeaderTimeout, strconv.FormatInt(remaining, 10))
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header.Set("User-Agent", "")
	}
	out.Body = bodyOf(r)
	return out
}

func bodyOf(r *http.Request) io.ReadCloser {
	if r.ContentLength == 0 || r.Body == nil {
		return http.NoBody
	}
	return readOnlyBody{r.Body}
}

func writeResponseHeader(w http.ResponseWriter, resp *http.Response) {
	h := w.Header()
	copyEndToEndHeaders(h, resp.Header)
	h.Del(verdict.HeaderReason)
	h.Set(verdict.HeaderVerdict, verdict.Ran.String())
	w.WriteHeader(resp.StatusCode)
}

// relayBody copies the response body and flushes after each read, so that
// events of a stream are not delayed.
func relayBody(w http.ResponseWriter, resp *http.Response) error {
	rc := http.NewResponseController(w)
	buf := make([]byte, copyBufferLen)
	if err := rc.Flush(); err != nil {
		return err
	}
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			if ferr := rc.Flush(); ferr != nil {
				return ferr
			}
		}
		if errors.Is(err, io.EOF) {
			copyTrailers(w, resp)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func copyTrailers(w http.ResponseWriter, resp *http.Response) {
	for name, values := range resp.Trailer {
		for _, v := range values {
			w.Header().Add(http.TrailerPrefix+name, v)
		}
	}
}

// outcomeOf returns the outcome of a request that got no response: Cancelled if
// the caller went away first, which does not count against the target, otherwise
// Failed.
func outcomeOf(r *http.Request) admission.Outcome {
	if r.Context().Err() != nil {
		return admission.Cancelled
	}
	return admission.Failed
}

func resultOf(ctx context.Context, r *http.Request, resp *http.Response, err error) admission.Result {
	res := admission.Result{
		Outcome:    admission.Succeeded,
		Comparable: r.ContentLength >= 0 && r.ContentLength < largeBodyLen && resp.ContentLength >= 0 && resp.ContentLength < largeBodyLen,
	}
	switch {
	case r.Context().Err() != nil:
		res.Outcome = admission.Cancelled
	case err != nil && ctx.Err() == nil:
		res.Outcome = admission.Failed
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		res.Outcome = admission.Shed
	case resp.StatusCode >= http.StatusInternalServerError:
		res.Outcome = admission.Failed
	}
	return res
}

// classOf derives the class from the Accept header. A request is promoted to a
// stream if its response turns out to be an event stream.
func classOf(r *http.Request) admission.Class {
	if strings.Contains(r.Header.Get("Accept"), eventStreamType) {
		return admission.Stream
	}
	return admission.Request
}

func hostName(authority string) string {
	host, _, err := net.SplitHostPort(authority)
	if err != nil {
		host = authority
	}
	return strings.ToLower(host)
}

// otherWorkspace is the workspace of all authorities that the service does not
// list, so that callers cannot create workspaces.
const otherWorkspace = "other"

func workspaceOf(s *catalog.Service, authority string) string {
	name := hostName(authority)
	if _, ok := s.Workspaces[name]; ok {
		return name
	}
	if len(s.Authorities) > 0 && s.Allows(name) {
		return name
	}
	return otherWorkspace
}

func weightOf(s *catalog.Service, workspace string) int { return max(s.Workspaces[workspace], 1) }
