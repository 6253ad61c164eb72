// Package flow defines the basic types of opaque flows: connections whose packets the
// system carries but cannot read or mark. A flow is identified by the addresses and ports
// of its two ends; nothing in a packet identifies the target that serves it.
//
// Targets are ranked by rendezvous hashing (Thaler and Ravishankar, 1998): the score of a
// target depends only on the flow and that target, so that a target that joins or leaves
// moves only the flows that it gains or loses. Cost: one hash per target of the service,
// about 16 ns including its insertion into the ranking (BenchmarkRank), no allocation.
//
// The package does no I/O and reads no clock: time and randomness are arguments.
package flow
