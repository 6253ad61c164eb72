// Package search finds the target of a flow that a balancer does not know, and determines
// whether a flow that no target holds has certainly ended.
//
// Algorithm. Table records where flows were sent; any entry may be lost. A packet of an unknown
// flow is buffered and sent in search probes. A probe lists the targets that it visits: an agent
// that does not hold the flow passes the packet on to the next target, and the last one returns it.
// The targets that the flow was most likely chosen among are probed first and alone, then all
// others in parallel, with maxParallelProbes probes unless zones and the size of a probe require
// more. The agent that holds the flow delivers the packet and notifies the balancer, which forwards
// the packets that came meanwhile. If a probe does not return within searchRetryInterval, the
// targets that have not answered are probed again, each by itself: a probe is lost at the first
// agent that is down. Such a target is probed by itself in other searches as well, until its agent
// answers or announces it. Once all targets known at the start of the search have denied the flow,
// only targets that joined since are probed. The client is reset once Proof finds no uncertainty
// left that every target was among them; until then the flow is checked periodically.
//
// Proof reports uncertainty while the balancer has just started, while the agents' registry
// was not read shortly before the packet came or since, while a target that may hold flows
// cannot be asked, and while an agent that was seen is not registered. An agent that was not
// seen causes uncertainty for at most missingAgentTimeout if the registry lists it, and until
// fleet.ExpireAfter has passed since the last listing if another balancer lists it.
//
// Bounds. 512 flows and 1024 packets are buffered, with up to 15 packets of a flow behind its
// first one. A packet of an open flow is buffered for bufferTTL, a SYN for synBufferTTL. If the
// buffer is full, a packet is sent to the first targets only, and its client retransmits it. A
// target is probed once per search attempt. The table is bounded by its limit. The registry is read
// at most as often as fleet.SnapshotPacer allows, which is less often the longer the uncertainty
// lasts.
//
// Cost. A known flow costs a table lookup. A search sorts the targets that may hold the flow, in n
// log n, and sends a message for each 16 to 33 of them; a repetition sends one for each target that
// did not answer. Deciding whether a flow has ended scans the targets and the registry's entries
// once.
//
// The package does no I/O: it is given packets, registry snapshots and the time, and sends
// through a Port.
package search
