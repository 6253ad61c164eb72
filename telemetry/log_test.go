package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockingWriter blocks every write until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func TestAsyncWriterDoesNotBlockOnSlowOutput(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	began := time.Now()
	for range 1024 {
		_, err := w.Write(line)
		require.NoError(t, err)
	}
	require.Less(t, time.Since(began), time.Second)
	close(out.release)
	require.NoError(t, w.Sync())
	require.NoError(t, w.Sync())
	out.mu.Lock()
	defer out.mu.Unlock()
	require.LessOrEqual(t, out.buf.Len(), 2*bufferLimit+1024)
	require.Contains(t, out.buf.String(), `"msg":"log lines dropped","lines":`)
}

func TestRateLimitReportsDroppedLines(t *testing.T) {
	b := RateLimit{PerSecond: 2}
	now := time.Unix(100, 0)
	for i, want := range []bool{true, true, false, false} {
		_, ok := b.Allow(now)
		require.Equal(t, want, ok, i)
	}
	dropped, ok := b.Allow(now.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, 2, dropped)
	dropped, ok = b.Allow(now.Add(time.Second))
	require.True(t, ok)
	require.Zero(t, dropped)
}
