package soak

import (
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestShortSoak guards against violations of the guarantees under faults, with one
// seed of each front against the real programs. poppywall-soak runs more seeds and
// longer ones.
func TestShortSoak(t *testing.T) {
	bin := t.TempDir()
	for _, name := range []string{"poppywall-balancer", "poppywall-agent"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(bin, name), "../binaries/"+name).CombinedOutput()
		require.NoError(t, err, string(out))
	}
	for name, front := range map[string]func(Config) (Report, error){"packets": Run, "QUIC": RunQUIC} {
		report, err := front(Config{Bin: bin, Dir: t.TempDir(), Seed: 7, AddressSlot: 90, Balancers: 3, Agents: 4, Clients: 4, Faults: 8, Reuses: 2})
		require.NoError(t, err, name)
		require.Empty(t, report.Violations, "%s: %q", name, report.Events)
		require.Positive(t, report.Requests, name)
	}
}
