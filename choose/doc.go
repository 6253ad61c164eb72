// Package choose picks the host for a new flow.
//
// Balancers do not agree with each other and see late load readings. The
// policy is power of d choices (Mitzenmacher, 2001) with d = 2 over the
// eligible hosts of a service. The cost of a host is its last reading plus what this balancer
// itself sent since that reading, per ready slot; the second term prevents
// herding on a stale reading. A host that joins empty starts slowly: its cost
// is held at least at the mean of the others and falls to its own over the
// slow-start period.
//
// Everything is pure: time and randomness are arguments.
//
// Cost: O(d) per pick, no allocation (BenchmarkPick).
package choose
