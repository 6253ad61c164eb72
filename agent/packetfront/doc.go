// Package packetfront is an agent's front for opaque flows. An agent stands between
// one target and the balancers: it delivers clients' packets to the target, sends the
// target's packets directly to the clients, and passes packets of flows that the
// target does not hold on to the next candidate.
//
// Only the target knows its flows for certain, and the agent sees everything that the
// target sends. The agent is therefore the authority on the ownership of flows, on
// draining, and on the service and the target ID at its address. It checks what
// balancers assume, which may be out of date.
//
// Core does no I/O: it is given packets, messages, the target's calls and the time, and
// sends through a Port. Front owns the sockets and the lock.
package packetfront
