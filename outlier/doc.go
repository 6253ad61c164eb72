// Package outlier tells a target that fails more than its peers from noise.
//
// Two judges are here, compared on the same traces by `make ejection`: a plain
// threshold on the failure rate, and the conditional binomial test of one
// group's failure rate against the rest's, as discussed in "Breaking
// Hypothesis Testing for Failure Rates": given the failures of both together,
// the target's own are Binomial(total failures, own share of the trials) when
// the rates are equal. docs/DESIGN.md has the figures and which one is used.
//
// Everything is pure: time is an argument.
package outlier
