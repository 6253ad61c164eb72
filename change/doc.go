// Package change applies operators' configuration changes to the platform's store.
//
// A change is one compare-and-put transaction: it writes all its records or none,
// and a marker under the ID of the change. If it succeeds, the change is accepted.
// If the response is lost, the marker decides: if it exists, the change was
// accepted; if not, a fence is written under the same key, after which the
// transaction can no longer succeed, so the change is rejected. The outcome is
// unknown only if the platform cannot be reached.
package change
