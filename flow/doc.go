// Package flow is the vocabulary of opaque flows: connections whose packets the
// system carries but cannot read or mark. A flow is named by its four addresses
// and ports; nothing in a packet tells which target serves it.
//
// Ranking is rendezvous hashing (Thaler and Ravishankar, 1998): each target's
// score depends on the pair of flow and target alone, so that a target that joins
// or leaves moves only the flows that it gains or loses. Cost: one hash for
// each target of the service, about 16 ns with its place (BenchmarkRank), no allocation.
//
// Everything is pure: time and randomness are arguments.
package flow
