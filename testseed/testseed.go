// Package testseed fixes the seed of the property-based tests (rapid), so that a
// test run gives the same result every time. `make fuzz` overrides the seed
// through environment variables.
package testseed

import (
	"flag"
	"os"
	"testing"
)

// envSeed and envChecks are environment variables that override the fixed seed and
// the number of checks. A seed of 0 selects a random seed, and a failed test prints
// the seed it used.
const (
	envSeed   = "POPPYWALL_SEED"
	envChecks = "POPPYWALL_CHECKS"
	fixedSeed = "1"
)

// Main runs a package's tests with the fixed seed. Call it from TestMain.
func Main(m *testing.M) {
	flag.Parse()
	setFlag("rapid.seed", envSeed, fixedSeed)
	setFlag("rapid.checks", envChecks, "")
	setFlag("rapid.nofailfile", "", "true")
	os.Exit(m.Run())
}

// setFlag sets a test flag, if it is registered, to the value of an environment
// variable or to fallback if that is unset or empty.
func setFlag(name, env, fallback string) {
	value := os.Getenv(env)
	if value == "" {
		value = fallback
	}
	if value == "" || flag.Lookup(name) == nil {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
