// Package sim runs the cores of balancers and agents in a simulated network, without
// sockets or wall-clock time. A run is deterministic: the same seed gives the same run.
package sim
