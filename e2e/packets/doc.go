// Package packets holds the stateful tests of the packet fronts: the cores of
// balancers and agents run in a simulated network. Modelled targets and clients speak
// the platform's packets and check what the cores do.
package packets
