// Package zonecast plans how a node's periodic messages reach the nodes of other zones:
// directly if a zone has few balancers, otherwise through relays.
//
// A node sends the message to two balancers of each large zone, which relay it, unchanged
// and in batches, to the nodes of their own zone. Each round uses the next two: no balancer
// is a relay for long, none is elected, and a relay that is dead, frozen, late or
// partitioned loses one of the two copies of some rounds. Messages carry the incarnation and the
// sequence number of their sender, so that duplicates are harmless.
//
// A relayed message only refreshes state that the receiver got from the same process of
// the node itself (fleet.ProcessCurrent). A process from which no message came directly yet
// gets an introduction (IntroductionLimiter). A node whose relayed messages have stopped arriving is
// probed directly before it is overdue (fleet.View.TargetsToProbe). Changes of state are not sent
// through relays.
//
// Bounds: a round sends RelayCopies messages to each large zone, so that cross-zone traffic
// grows with the nodes times the zones, not with the nodes of both zones. A relay buffers
// at most maxBuffered messages, one per node, for at most its flush period. The cost of a
// round is that of sorting the known balancers.
//
// The package does no I/O and reads no clock: time is an argument.
package zonecast
