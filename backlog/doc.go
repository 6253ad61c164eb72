// Package backlog orders the requests that a target has no slot for, and says how
// long the next one would wait.
//
// The pattern that it answers is the return of all callers: a service was away for
// a second or two, all callers of that time come back at once, targets that have
// just started are slow, and fresh requests arrive all the while. The targets could
// answer every one in time for its caller, though not within its latency
// objective. Served in order of arrival, all are late until the backlog is gone;
// newest first, the callers that waited longest give up. The order here is a form
// of least laxity first (Mok, 1983):
//
//   - a request that can still meet its objective goes first, the highest priority
//     and of that the newest, as long as every other one can meet its deadline
//     after it at the target's observed pace;
//   - otherwise the one with the earliest deadline goes, of those that can meet
//     theirs one after the other. Where not all can, Moore's rule (1968) finds the
//     most that can, and priority decides who is given up.
//
// Deadlines come from the route. A caller's age is what its packets show: a copy
// of an opening packet says how long ago the first one was sent. A caller whose
// earlier try met nobody shows nothing; Outage tells from the copies that arrive
// whether that may be so, and the deadline is taken that much earlier then.
//
// An overload is another matter: more requests come than are answered, and everybody would
// wait as long as they can bear. Overload tells the two apart by what arrives and what is
// answered, not by the length of the queue, which an outage leaves as well. A backlog counts
// as an overload that stands
//
//   - after a quarter of the deadline, if the target needs a third of the deadline for what
//     waits or has arrived since and is not answered, and no outage can have sent it: its
//     signs are a target or an agent that has just started, and, at a target that was idle,
//     copies of opening packets that met nobody; its callers have all come again 1.9 s
//     later. This is a cumulative sum test (Page, 1954): chance alone takes a target below
//     its capacity that far behind exponentially seldom;
//   - if requests have waited for an eighth of the deadline at least for two deadlines.
//
// It ends with the backlog, as soon as a slot has been free for a fifth of the time. While
// it stands NextInTime serves those that can meet their objective, the earliest first, and
// the caller of this package refuses what could not.
//
// Cost: Next sorts the requests, O(n log n), 31 microseconds for 256 of them
// (BenchmarkNext).
package backlog
