package load

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/poppywall/poppywall/verdict"
)

const (
	// maxLatency and significantDigits are the range and the precision of the
	// latency histograms.
	maxLatency        = 2 * time.Minute
	significantDigits = 3
)

// Latency summarizes one histogram, in milliseconds. A request is measured from
// its intended start to the end of its answer.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Spread measures how evenly a load is distributed over targets.
type Spread struct {
	MaxOverMean float64 `json:"max_over_mean"`
	// CV is the coefficient of variation over the targets.
	CV float64 `json:"cv"`
}

// Sample is the spread of a service's open streams at one instant.
type Sample struct {
	AtSeconds float64 `json:"at_seconds"`
	Service   string  `json:"service"`
	// Open is the number of open streams per slot, summed over the targets.
	Open float64 `json:"open"`
	Spread
}

// Summary is the outcome of a plan.
type Summary struct {
	Requests int64 `json:"requests"`
	Streams  int64 `json:"streams"`
	// BrokenFlows counts streams that ended early, fell silent, or lost or
	// reordered events, and requests that failed or got the wrong answer.
	BrokenFlows int64 `json:"broken_flows"`
	// Imbalance is the max/mean ratio of open streams per slot, averaged over the
	// samples after the warm-up, of the service with the highest average.
	Imbalance float64 `json:"imbalance"`
	Ran       int64   `json:"ran"`
	NotRun    int64   `json:"not_run"`
	Unknown   int64   `json:"unknown"`
	// RefusedStreams counts streams that were answered with an error status and
	// the verdict that the request did not run, so that they can be retried.
	RefusedStreams int64 `json:"refused_streams"`
	// Served counts answers with status 200 by workspace. Jain is Jain's fairness
	// index of them relative to the load offered by each workspace.
	Served    map[string]int64   `json:"served"`
	Jain      float64            `json:"jain"`
	Latencies map[string]Latency `json:"latencies"`
	// ByTarget is the spread of served requests over the targets of each service;
	// targets that were added, left or failed during the plan count too.
	ByTarget map[string]Spread `json:"by_target"`
	Errors   []string          `json:"errors,omitempty"`
	Samples  []Sample          `json:"samples,omitempty"`
}

// maxErrorSamples bounds the error texts in a summary.
const maxErrorSamples = 10

// recorder collects the results of requests and streams; mu guards all fields.
type recorder struct {
	mu         sync.Mutex
	sum        Summary
	histograms map[string]*hdrhistogram.Histogram
	byTarget   map[string]map[string]float64
}

func newRecorder() *recorder {
	return &recorder{
		sum:        Summary{Served: map[string]int64{}, Latencies: map[string]Latency{}},
		histograms: map[string]*hdrhistogram.Histogram{},
		byTarget:   map[string]map[string]float64{},
	}
}

// requestResult is the outcome of one request.
type requestResult struct {
	class, service, workspace, target string
	status                            int
	verdict                           verdict.Verdict
	latency                           time.Duration
	err                               error
}

// recordRequest adds the outcome of one request to the summary.
func (r *recorder) recordRequest(result requestResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sum.Requests++
	if result.err != nil {
		r.sum.Unknown++
		r.recordBroken(result.class, result.err)
		return
	}
	switch result.verdict {
	case verdict.Ran:
		r.sum.Ran++
	case verdict.NotRun:
		r.sum.NotRun++
	default:
		r.sum.Unknown++
	}
	if result.status == 200 {
		r.sum.Served[result.workspace]++
		if r.byTarget[result.service] == nil {
			r.byTarget[result.service] = map[string]float64{}
		}
		r.byTarget[result.service][result.target]++
		r.recordLatency(result.class, result.latency)
	}
}

// recordBroken counts a broken flow. The caller holds mu.
func (r *recorder) recordBroken(class string, err error) {
	r.sum.BrokenFlows++
	if len(r.sum.Errors) < maxErrorSamples {
		r.sum.Errors = append(r.sum.Errors, class+": "+err.Error())
	}
}

// recordLatency adds a latency to the histogram of a class. The caller holds mu.
func (r *recorder) recordLatency(class string, latency time.Duration) {
	h, ok := r.histograms[class]
	if !ok {
		h = hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
		r.histograms[class] = h
	}
	_ = h.RecordValue(min(latency, maxLatency).Microseconds())
}

// recordStream records the end of a stream. A refused stream was never open; err
// is why a stream broke, nil if it did not.
func (r *recorder) recordStream(refused bool, openTime time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if refused {
		r.sum.RefusedStreams++
		return
	}
	r.sum.Streams++
	if err != nil {
		r.recordBroken("stream", err)
	}
	if openTime > 0 {
		r.recordLatency("stream-open", openTime)
	}
}

func (r *recorder) addSample(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sum.Samples = append(r.sum.Samples, s)
}

// summarize returns the summary; offered is the load offered by each workspace, in
// requests per second.
func (r *recorder) summarize(warmup float64, offered map[string]float64) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	for class, h := range r.histograms {
		r.sum.Latencies[class] = latencyOf(h)
	}
	r.sum.ByTarget = map[string]Spread{}
	for service, counts := range r.byTarget {
		r.sum.ByTarget[service] = SpreadOf(counts)
	}
	r.sum.Jain = jainIndex(r.sum.Served, offered)
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

// SpreadOf returns the spread of a load, given by target.
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

// jainIndex returns Jain's fairness index over the workspaces that offered load,
// each with the ratio of its served requests to its offered load.
func jainIndex(served map[string]int64, offered map[string]float64) float64 {
	if len(offered) == 0 {
		return 1
	}
	sum, squares := 0.0, 0.0
	for workspace, rate := range offered {
		x := float64(served[workspace]) / rate
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(offered)) * squares)
}

// imbalance returns the highest mean, by service, of the max/mean ratio after the
// warm-up. Samples without open streams are left out.
func imbalance(samples []Sample, warmup float64) float64 {
	sum, counts := map[string]float64{}, map[string]float64{}
	for _, s := range samples {
		if s.AtSeconds >= warmup && s.Open > 0 {
			sum[s.Service] += s.MaxOverMean
			counts[s.Service]++
		}
	}
	worst := 0.0
	for service := range sum {
		worst = max(worst, sum[service]/counts[service])
	}
	return worst
}
