package registry

import (
	"context"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/standin"
)

const self = flow.IPv4(0x0a000001)

// listed waits until the registry lists the node or not.
func listed(t *testing.T, s *standin.Store, want bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		got, err := List(context.Background(), s, Agents)
		return err == nil && (len(got) == 1 && got[0] == self) == want
	}, 5*time.Second, 5*time.Millisecond)
}

func TestAnEntryComesBackAndGoesWithItsNode(t *testing.T) {
	s := standin.NewStore(time.Now)
	absent := make(chan bool, 8)
	r := New(s, Agents, self, zap.NewNop(), func(a bool) { absent <- a })
	ctx, stop := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = r.Run(ctx) })
	listed(t, s, true)
	none, err := List(context.Background(), s, Balancers)
	require.NoError(t, err)
	require.Empty(t, none)

	// The lease ends while the store is away; the entry is back after its return.
	s.Down(true)
	s.LapseLeases()
	time.Sleep(20 * time.Millisecond)
	s.Down(false)
	listed(t, s, true)
	require.True(t, <-absent, "new")
	require.True(t, <-absent, "its lease had lapsed")

	stop()
	wg.Wait()
	listed(t, s, false)
}

func TestTheFirstEntryIsWrittenOnceTheStoreIsThere(t *testing.T) {
	s := standin.NewStore(time.Now)
	s.Down(true)
	r := New(s, Agents, self, zap.NewNop(), func(bool) {})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { _ = r.Run(ctx) })
	time.Sleep(10 * time.Millisecond)
	s.Down(false)
	listed(t, s, true)
}

// TestARestartedNodeFindsItsEntry: its former lease has not lapsed.
func TestARestartedNodeFindsItsEntry(t *testing.T) {
	s := standin.NewStore(time.Now)
	absent := make(chan bool, 8)
	r := New(s, Agents, self, zap.NewNop(), func(a bool) { absent <- a })
	for _, want := range []bool{true, false} {
		_, err := r.publish(context.Background())
		require.NoError(t, err)
		require.Equal(t, want, <-absent)
	}
}
