// Package packetfront is an agent's front for opaque flows. It stands between
// one target and the balancers: it delivers clients' packets to the target, sends
// the target's packets straight to the clients, and passes on what its target does
// not hold.
//
// The target alone knows its flows, and the agent sees all that it sends: so the
// agent is the authority on whose a flow is, on draining, and on the service and
// the target ID at its address. What balancers believe is checked here.
//
// Core is pure: it takes packets, messages, the target's calls and the time, and
// sends through a Port. The shell around it owns sockets and the lock.
package packetfront
