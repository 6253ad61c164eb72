// Package choose selects the host or target of a new flow.
//
// Balancers do not agree with each other and see late load reports. The policy is power of d
// choices (Mitzenmacher, 2001) with d = 2 over the eligible hosts of a service. The cost of a
// host is the open flows of its last load report plus the flows that this balancer has sent
// since, per ready slot; the second term prevents herding on a stale report. A host that
// joins empty starts slowly: at first it is skipped in most draws, and its share rises over
// the slow-start period. (Holding its cost at the mean instead does not work: of two hosts
// the slightly cheaper one is chosen every time.)
//
// Offers are for the packet front, where balancers receive the load and the service time of
// single targets: of two random targets of the local zone and two of other zones the one with
// the shortest expected delay is chosen, by load, observed service time and a cost for
// crossing zones. If all targets are equal, they are ordered by requests per slot.
//
// The package does no I/O and reads no clock: time and randomness are arguments.
//
// Cost: O(d) per pick, no allocation (BenchmarkPick); 0.5 microseconds for one of eight
// offers (BenchmarkCheapest).
package choose
