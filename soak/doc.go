// Package soak runs the real programs of either front as separate processes on
// loopback, injects faults from outside and checks the promises from what callers
// and targets see while it runs: processes are killed, stopped, paused and
// restarted, targets crash, drain and are replaced, and the store misbehaves.
//
// Everything random comes from one seed. What happens in which order repeats;
// when exactly does not, for processes run on a real machine.
package soak
