package trial

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/load"
)

func TestServesThroughSpray(t *testing.T) {
	c, err := Start(t.Context(), Site{
		Zones:     []string{"a", "b"},
		Balancers: 3,
		Services:  []ServiceSpec{{Name: "tables", Hosts: 2, Slots: 5}},
	}, zap.NewNop())
	require.NoError(t, err)
	defer c.Close()
	caller, err := load.NewCaller(c.Addresses["tables"], "tables.example", c.Roots)
	require.NoError(t, err)
	defer caller.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	resp, err := caller.Do(ctx, "POST", "/move", strings.NewReader("e2e4"), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "e2e4", string(body))
	require.Equal(t, "ran", resp.Header.Get("Poppywall-Verdict"))
}
