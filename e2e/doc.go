// Package e2e tests the binaries as separate processes on loopback. It holds
// tests only.
package e2e
