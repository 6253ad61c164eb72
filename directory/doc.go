// Package directory holds a balancer's membership table: its view of all hosts
// and balancers.
//
// Each entry has one writer, its owner: the agent for a host, the balancer for
// itself. Entries are ordered by (incarnation, sequence). At equal order the
// higher status wins, so a claim by another node (suspect, gone) stands until
// the owner refutes it with a higher sequence, as in SWIM (Das et al., DSN
// 2002). Merge is commutative, associative and idempotent, so updates may
// arrive late, more than once and in any order.
//
// Balancers gossip changes, not heartbeats: each change is sent a bounded
// number of times, and a comparison of digest trees (anti-entropy) finds the
// changes that gossip missed. A host sends heartbeats only to a few registrars,
// chosen by rendezvous hashing (Thaler and Ravishankar, 1998).
//
// Correctness does not depend on the entries: a route carries the incarnation
// that it belongs to, and the agent refuses traffic that it does not serve.
//
// The package does no I/O; time and randomness are arguments.
package directory
