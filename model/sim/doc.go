// Package sim runs the cores of balancers and agents in a simulated network: no
// sockets, no clocks. One seed decides everything; a run repeats.
package sim
