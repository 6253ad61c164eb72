// Package change makes configuration changes at the platform for operators.
//
// A change is one transaction: it swaps all its records or none, and puts a
// marker under the change's own ID. Accepted means swapped. When the answer to
// the transaction is lost, the marker tells: if it is there, the change was
// accepted; if not, a fence is put in its place, after which the transaction
// can never succeed, so the change is rejected for sure. Only when the platform
// cannot be asked does the outcome stay unknown.
package change
