// Package fleet holds a node's view of the other nodes: the targets, with the service and
// load that their agents announce, and the balancers, with the configuration version that
// each has in force.
//
// An agent announces its own target to every balancer, immediately when the target's state
// changes and otherwise once per period. No other node makes statements about a target.
// Balancers of the receiver's zone may relay announcements and beacons unchanged (package
// zonecast); a relayed message only refreshes a process that was seen directly before.
// Balancers send beacons to balancers and agents. A node answers the beacon of an unknown
// balancer immediately, so a starting node learns the fleet after one exchange with any
// member. Messages of one process are ordered by a sequence number within a random process
// incarnation; messages of a former incarnation are rejected.
//
// An overdue target first stops receiving new flows. It is dropped from the search for open
// flows only later, because it may still hold some.
//
// The package does no I/O and reads no clock: time is an argument.
package fleet
