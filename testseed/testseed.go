// Package testseed fixes the seed of stateful fuzzing, so that a test run gives
// the same verdict every time. `make fuzz` overrides it by the environment.
package testseed

import (
	"flag"
	"os"
	"testing"
)

// Environment variables that override the fixed values; a seed of 0 is a fresh
// one, and the seed of a failure is printed.
const (
	envSeed   = "POPPYWALL_SEED"
	envChecks = "POPPYWALL_CHECKS"
	fixedSeed = "1"
)

// Main runs a package's tests under the fixed seed; call it from TestMain.
func Main(m *testing.M) {
	flag.Parse()
	set("rapid.seed", envSeed, fixedSeed)
	set("rapid.checks", envChecks, "")
	set("rapid.nofailfile", "", "true")
	os.Exit(m.Run())
}

func set(name, env, fallback string) {
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
