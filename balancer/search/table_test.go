package search

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/flow"
)

func TestTableIsBounded(t *testing.T) {
	table := NewTable(100)
	now := time.Unix(1, 0)
	for i := range flow.IPv4(1000) {
		table.Put(now, flow.Key{ClientIP: i}, targetA)
		require.LessOrEqual(t, len(table.flows), 100)
	}
	table.Expire(now.Add(time.Minute), time.Second)
	require.Empty(t, table.flows)
}
