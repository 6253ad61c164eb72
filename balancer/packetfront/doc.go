// Package packetfront is a balancer's forwarding path for opaque flows: it receives clients'
// packets from the platform's routers and forwards each to the agent whose target
// serves its flow. Answers go directly from the agent to the client.
//
// A new flow goes to a target chosen by load among the highest ranked targets of the flow's
// rendezvous ranking. The balancer remembers the choice as soft state in a table. A
// packet of a flow that is not in the table travels along the ranking from agent to
// agent until the one that holds the flow delivers it and notifies the balancer.
// Flows are neither stored nor agreed on between balancers.
//
// Package operator holds the operator's state: configuration and evacuations. Package search
// finds the targets of unknown flows.
//
// Core does no I/O: it is given packets, messages and the time, and sends through a
// Port. Front owns the sockets, the store client and the lock.
package packetfront
