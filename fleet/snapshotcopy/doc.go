// Package snapshotcopy shares snapshots of the agents' registry between the balancers of a
// zone, so that the number of store calls grows with the zones and not with the balancers.
//
// A snapshot is the list of entries in the store at one moment. The sender states its age; the
// receiver subtracts the age from the time of its own request, so that neither clock differences
// nor a slow response make a snapshot look newer than it is (fleet.Snapshot). Sharing is optional:
// a balancer that gets no response in time reads the store.
//
// A Reader reads the store once for all concurrent callers, at most as often as
// fleet.SnapshotPacer allows, and returns its last snapshot in between. Cost: 12 bytes per
// entry; a receiver that already has the same entries gets none.
package snapshotcopy
