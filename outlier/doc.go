// Package outlier detects targets that fail significantly more often than their peers.
//
// It has two detection policies, compared on the same traces by `make ejection`: a plain
// threshold on the failure rate, and the conditional binomial test of the failure rate of one
// group against that of the rest, as discussed in "Breaking Hypothesis Testing for Failure
// Rates": given the failures of both together, those of the target are Binomial(total
// failures, its share of the trials) if the rates are equal. docs/DESIGN.md has the figures
// and the policy in use.
//
// The package does no I/O and reads no clock: time is an argument.
package outlier
