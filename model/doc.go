// Package model plays load and faults on a deployment and says what callers got:
// a discrete-event simulation that runs the real cores of balancers and agents
// (package sim) before targets with slots, queues, cold starts, crashes and partial
// failures, and callers that open flows, repeat packets, retry and give up as the
// platform's protocol says. It needs no network and no clock, and one seed
// decides a run.
//
// It is for decisions: two policies are two builds, played with the same seeds.
// What it leaves out: processor time, store calls, configuration changes, sizes of
// answers (an answer is one packet), lost datagrams, and the routers' choice among
// balancers that are about to be taken out of rotation.
//
// Cost: 0.05 ms of a core for each request, 0.2 ms on a busy machine
// (BenchmarkPlay).
package model
