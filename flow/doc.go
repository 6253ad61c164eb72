// Package flow is the vocabulary of opaque flows: connections whose packets the
// system carries but cannot read or mark. A flow is named by its four addresses
// and ports; nothing in a packet tells which host serves it.
//
// Ranking is rendezvous hashing (Thaler and Ravishankar, 1998): each host's
// score depends on the pair of flow and host alone, so that a host that joins
// or leaves moves only the flows that it gains or loses. Cost: one hash for
// each host of the service, about 16 ns with its place (BenchmarkRank), no allocation.
//
// Everything is pure: time and randomness are arguments.
package flow
