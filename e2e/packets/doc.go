// Package packets holds the stateful tests of the packet fronts: cores of
// balancers and agents in a simulated network, before an oracle of targets and
// clients that speak the platform's packets.
package packets
