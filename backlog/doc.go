// Package backlog orders the requests that wait for a slot of a target, and estimates
// how long the next one would wait.
//
// It is built for the return of all callers after an outage: a service was away for a
// second or two, all callers of that time retry at once, targets that have just started
// are slow, and new requests keep arriving. The targets could answer every request before
// its caller gives up, though not within its latency objective. Served in order of
// arrival, all requests are late until the backlog is gone; newest first, the callers that
// have waited longest give up. The order used here is a form of least laxity first (Mok,
// 1983):
//
//   - A request that can still meet its objective goes first, the one with the highest
//     priority and, among equals, the newest, as long as every other request can meet its
//     deadline after it at the target's observed service rate.
//   - Otherwise the request with the earliest deadline goes, of those that can all meet
//     their deadlines one after the other. Where not all can, Moore's rule (1968) finds the
//     largest set that can, and priority decides which requests are dropped.
//
// Deadlines come from the route. The age of a request follows from its opening packets: a
// retransmission implies when the first opening packet was sent. A caller whose earlier
// try reached no target leaves no trace of it; Outage infers from the retransmissions that
// arrive whether there may have been such a try, and the deadline is then taken that much
// earlier.
//
// In an overload, by contrast, more requests arrive than are answered, and every request
// would wait until its caller gives up. Overload distinguishes the two by arrival and
// answer rates, not by queue length, which an outage leaves as well. A backlog counts as
// an active overload in either of two cases:
//
//   - It has lasted for a quarter of the deadline, the target needs a third of the deadline
//     for the requests that wait, or that have arrived since the slots filled and are not
//     answered, and no outage can have caused it. Signs of an outage are a target or an
//     agent that has just started and, at a target that was idle, retransmissions of
//     opening packets that were lost; all callers of an outage have retried 1.9 s later.
//     This is a cumulative sum test (Page, 1954): the probability that chance takes a
//     target below its capacity that far behind falls exponentially with the lag.
//   - Requests have waited for at least an eighth of the deadline for two deadlines.
//
// The overload ends with the backlog, as soon as a slot has been free for a fifth of the
// time. While it is active, NextInTime serves the requests that can meet their objective,
// the earliest objective first, and the caller of this package refuses requests that could
// not meet theirs.
//
// Cost: Next sorts the requests, O(n log n), 31 microseconds for 256 of them
// (BenchmarkNext).
package backlog
