package packetfront

import (
	"runtime"
	"testing"
	"time"

	"github.com/poppywall/poppywall/flow"
)

// BenchmarkExpireFullTable measures the pass over a full table that removes expired records, once per
// second, and the memory of a record.
func BenchmarkExpireFullTable(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	before := heapInUse()
	f := newFlows(func(*queuedRequest) {}, func(time.Time, flow.Key, *record) {})
	for i := range maxFlows {
		f.setStage(f.ensure(now, keyOf(i)), acknowledged)
	}
	bytes := float64(heapInUse()-before) / maxFlows
	for b.Loop() {
		f.expire(now, time.Minute)
	}
	b.ReportMetric(bytes, "B/record")
	runtime.KeepAlive(f)
}

// heapInUse returns the bytes of live objects.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
