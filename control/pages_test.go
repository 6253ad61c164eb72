package control

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/route"
)

// largeServices returns a state with count services of 1000 authorities each: 70 KB
// of JSON per record.
func largeServices(t *testing.T, count int) *catalog.State {
	t.Helper()
	state := catalog.NewState()
	for i := 1; i <= count; i++ {
		service := &catalog.Service{
			Name: fmt.Sprintf("s%d", i), ID: route.ServiceID(i), Address: fmt.Sprintf("10.0.0.%d:443", i),
			Selector: catalog.Labels{"app": "a"},
		}
		for n := range 1000 {
			service.Authorities = append(service.Authorities, fmt.Sprintf("%s-%d.example", strings.Repeat("a", 50), n))
		}
		r := catalog.Record{Key: catalog.ServiceKey(service.Name), Revision: catalog.Revision(i), Service: service}
		require.NoError(t, r.Validate())
		to := catalog.Revision(i)
		_, err := state.Apply(catalog.Update{From: to - 1, To: to, Horizon: to, Records: []catalog.Record{r}})
		require.NoError(t, err)
	}
	return state
}

// TestPagedSyncOfLargeRecordsCompletes brings large records page by page to a node
// without any. A page limited only by its number of records would not fit into one
// frame, and the node would request it again for ever.
func TestPagedSyncOfLargeRecordsCompletes(t *testing.T) {
	const services = 60
	full := largeServices(t, services)
	s, err := Listen("127.0.0.1:0", []route.Secret{oldSecret}, &Traffic{}, zap.NewNop())
	require.NoError(t, err)
	s.Register(MethodSync, Handle(func(_ context.Context, r SyncRequest) (SyncReply, error) {
		return SyncReply{Update: full.Since(r.Revision, catalog.KeepAll)}, nil
	}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })

	client := NewClient([]route.Secret{oldSecret}, &Traffic{}, 5*time.Second, time.Minute)
	defer client.Close()
	fresh := catalog.NewState()
	for fresh.InForce() < full.InForce() {
		var reply SyncReply
		before := fresh.Revision()
		require.NoError(t, client.Call(t.Context(), s.Addr().String(), MethodSync, SyncRequest{Revision: before}, &reply))
		_, err := fresh.Apply(*reply.Update)
		require.NoError(t, err)
		require.Greater(t, fresh.Revision(), before, "each page advances the revision")
	}
	require.Equal(t, services, fresh.Len())
}
