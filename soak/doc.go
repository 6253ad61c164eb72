// Package soak runs the real programs of either front as separate processes on
// loopback, injects faults from outside, and checks the system's guarantees by
// what callers and targets observe: processes are killed, stopped, paused and
// restarted, targets crash, drain and are replaced, and the store fails.
//
// All random choices derive from one seed. Runs with the same seed inject the same
// faults in the same order, but not at exactly the same times, since the processes
// run in real time.
package soak
