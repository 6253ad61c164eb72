// Package directory is each balancer's view of hosts and of other balancers.
//
// The agent of a host is the only writer of its entry; a balancer is of its
// own. An entry is ordered by (incarnation, sequence); at equal order a
// stronger claim by others (suspect, gone) wins until the owner's next
// sequence refutes it, as in SWIM (Das et al., DSN 2002). Merge is
// commutative, associative and idempotent, so that updates may arrive late,
// twice and in any order.
//
// Balancers spread changes, not heartbeats: each change is passed on a bounded
// number of times (rumour), and a digest tree finds what rumours missed
// (anti-entropy). Hosts send heartbeats only to a few registrars, picked by
// rendezvous hashing (Thaler and Ravishankar, 1998).
//
// No entry guards correctness: a route names the incarnation it belongs to,
// and the agent itself refuses what it does not serve.
//
// Everything is pure: time and randomness are arguments.
package directory
