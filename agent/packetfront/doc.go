// Package packetfront is an agent's front for opaque flows. It stands between
// one host and the balancers: it delivers clients' packets to the host, sends
// the host's packets straight to the clients, and passes on what its host does
// not hold.
//
// The host alone knows its flows, and the agent sees all that it sends: so the
// agent is the authority on whose a flow is, on draining, and on the service and
// the host ID at its address. What balancers believe is checked here.
//
// Core is pure: it takes packets, messages, the host's calls and the time, and
// sends through a Port. The shell around it owns sockets and the lock.
package packetfront
