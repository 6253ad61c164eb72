package load

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/poppywall/poppywall/verdict"
)

const (
	// maxLatency and digits are the range and precision of histograms.
	maxLatency = 2 * time.Minute
	digits     = 3
)

// Latency is a summary of one histogram, in milliseconds from the intended
// start of a request to the end of its answer.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Spread is how evenly something is spread over targets.
type Spread struct {
	MaxOverMean float64 `json:"max_over_mean"`
	// CV is the coefficient of variation.
	CV float64 `json:"cv"`
}

// Sample is the spread of open streams of one service at one instant.
type Sample struct {
	AtSeconds float64 `json:"at_seconds"`
	Service   string  `json:"service"`
	Open      float64 `json:"open"`
	Spread
}

// Summary is the outcome of a plan.
type Summary struct {
	Requests int64 `json:"requests"`
	Streams  int64 `json:"streams"`
	// BrokenFlows are streams that ended before their time, lost events or had
	// them out of order, and requests whose connection failed under them.
	BrokenFlows int64 `json:"broken_flows"`
	// Imbalance is the worst service's max/mean of open streams per slot, the
	// mean over the samples after the warm-up.
	Imbalance float64 `json:"imbalance"`
	Ran       int64   `json:"ran"`
	NotRun    int64   `json:"not_run"`
	Unknown   int64   `json:"unknown"`
	// RefusedStreams were told at once to come back later.
	RefusedStreams int64 `json:"refused_streams"`
	// Served counts answers with status 200 by workspace, Jain is the fairness
	// index over the workspaces that offered load.
	Served    map[string]int64   `json:"served"`
	Jain      float64            `json:"jain"`
	Latencies map[string]Latency `json:"latencies"`
	// ByTarget is the spread of requests served over the targets of a service;
	// targets that came, left or failed count too.
	ByTarget map[string]Spread `json:"by_target"`
	Errors   []string          `json:"errors,omitempty"`
	Samples  []Sample          `json:"samples,omitempty"`
}

// maxErrors bounds the error texts kept as examples.
const maxErrors = 10

// recorder collects what callers see; mu guards all of it.
type recorder struct {
	mu        sync.Mutex
	sum       Summary
	histogram map[string]*hdrhistogram.Histogram
	byTarget  map[string]map[string]float64
}

func newRecorder() *recorder {
	return &recorder{
		sum:       Summary{Served: map[string]int64{}, Latencies: map[string]Latency{}},
		histogram: map[string]*hdrhistogram.Histogram{},
		byTarget:  map[string]map[string]float64{},
	}
}

// answer is one finished request.
type answer struct {
	class, service, workspace, target string
	status                            int
	verdict                           verdict.Verdict
	took                              time.Duration
	err                               error
}

func (r *recorder) request(a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sum.Requests++
	if a.err != nil {
		r.sum.Unknown++
		r.broken(a.class, a.err)
		return
	}
	switch a.verdict {
	case verdict.Ran:
		r.sum.Ran++
	case verdict.NotRun:
		r.sum.NotRun++
	default:
		r.sum.Unknown++
	}
	if a.status == 200 {
		r.sum.Served[a.workspace]++
		if r.byTarget[a.service] == nil {
			r.byTarget[a.service] = map[string]float64{}
		}
		r.byTarget[a.service][a.target]++
		r.observe(a.class, a.took)
	}
}

// broken runs under mu.
func (r *recorder) broken(class string, err error) {
	r.sum.BrokenFlows++
	if len(r.sum.Errors) < maxErrors {
		r.sum.Errors = append(r.sum.Errors, class+": "+err.Error())
	}
}

func (r *recorder) observe(class string, took time.Duration) {
	h, ok := r.histogram[class]
	if !ok {
		h = hdrhistogram.New(1, maxLatency.Microseconds(), digits)
		r.histogram[class] = h
	}
	_ = h.RecordValue(min(took, maxLatency).Microseconds())
}

// stream notes the end of a stream; refused ones were never open.
func (r *recorder) stream(refused bool, opened time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if refused {
		r.sum.RefusedStreams++
		return
	}
	r.sum.Streams++
	if err != nil {
		r.broken("stream", err)
	}
	if opened > 0 {
		r.observe("stream-open", opened)
	}
}

func (r *recorder) sample(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sum.Samples = append(r.sum.Samples, s)
}

// finish computes the summary; offered is the load offered by workspace.
func (r *recorder) finish(warmup float64, offered map[string]float64) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	for class, h := range r.histogram {
		r.sum.Latencies[class] = latencyOf(h)
	}
	r.sum.ByTarget = map[string]Spread{}
	for service, counts := range r.byTarget {
		r.sum.ByTarget[service] = SpreadOf(counts)
	}
	r.sum.Jain = jain(r.sum.Served, offered)
	r.sum.Imbalance = imbalance(r.sum.Samples, warmup)
	return r.sum
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{
		Count: h.TotalCount(),
		Mean:  h.Mean() / 1000,
		P50:   ms(h.ValueAtQuantile(50)),
		P99:   ms(h.ValueAtQuantile(99)),
		P999:  ms(h.ValueAtQuantile(99.9)),
		Max:   ms(h.Max()),
	}
}

// SpreadOf computes the spread of a load over targets.
func SpreadOf(load map[string]float64) Spread {
	if len(load) == 0 {
		return Spread{}
	}
	sum, largest := 0.0, 0.0
	for _, v := range load {
		sum += v
		largest = max(largest, v)
	}
	mean := sum / float64(len(load))
	if mean == 0 {
		return Spread{}
	}
	variance := 0.0
	for _, v := range load {
		variance += (v - mean) * (v - mean)
	}
	return Spread{MaxOverMean: largest / mean, CV: math.Sqrt(variance/float64(len(load))) / mean}
}

// jain is Jain's fairness index of the served share of what each workspace
// offered.
func jain(served map[string]int64, offered map[string]float64) float64 {
	if len(offered) == 0 {
		return 1
	}
	sum, squares := 0.0, 0.0
	for m, o := range offered {
		x := float64(served[m]) / o
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(offered)) * squares)
}

// imbalance is the worst service's mean of max/mean after the warm-up.
func imbalance(samples []Sample, warmup float64) float64 {
	sum, n := map[string]float64{}, map[string]float64{}
	for _, s := range samples {
		if s.AtSeconds >= warmup && s.Open > 0 {
			sum[s.Service] += s.MaxOverMean
			n[s.Service]++
		}
	}
	worst := 0.0
	for service := range sum {
		worst = max(worst, sum[service]/n[service])
	}
	return worst
}
