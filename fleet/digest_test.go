package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poppywall/poppywall/flow"
)

// viewOf returns a view of the given number of nodes: two balancers for every five agents.
func viewOf(now time.Time, nodes int) *View {
	v := NewView()
	for i := range nodes {
		id := MessageID{ProcessIncarnation: 1, Seq: 1}
		if i%7 < 2 {
			v.ApplyBeacon(now, flow.IPv4(0x0a000001+i), Beacon{MessageID: id})
			continue
		}
		v.ApplyAnnouncement(now, flow.IPv4(0x0a000001+i), Announcement{MessageID: id, State: Ready})
	}
	return v
}

func BenchmarkDigest(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	for _, nodes := range []int{100, 300, 982, 2000} {
		v := viewOf(now, nodes)
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			for b.Loop() {
				v.Digest(now, 7)
			}
		})
	}
}

// digestOf computes the digest from scratch, over all balancers, the owner, and the targets
// that are not gone or not overdue.
func digestOf(v *View, now time.Time, self flow.IPv4) uint32 {
	sum := memberHash(self, true)
	for ip := range v.peers {
		sum ^= memberHash(ip, true)
	}
	for ip, target := range v.targets {
		if target.State != Gone || !target.Overdue(now) {
			sum ^= memberHash(ip, false)
		}
	}
	return sum
}

// TestDigestMatchesTheKnownNodes checks the incrementally updated digest while nodes join,
// leave, return and expire.
func TestDigestMatchesTheKnownNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, now, seq := NewView(), time.Unix(1_700_000_000, 0), uint32(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			ip := flow.IPv4(rapid.IntRange(1, 8).Draw(t, "node"))
			seq++
			id := MessageID{ProcessIncarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"), Seq: seq}
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0:
				v.ApplyBeacon(now, 100+ip, Beacon{MessageID: id})
			case 1:
				v.Expire(now)
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "seconds")) * time.Second)
			default:
				v.ApplyAnnouncement(now, ip, Announcement{MessageID: id, State: State(rapid.IntRange(0, 3).Draw(t, "state"))})
			}
			require.Equal(t, digestOf(v, now, 7), v.Digest(now, 7))
		}
	})
}

func BenchmarkTargets(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	for _, nodes := range []int{100, 300, 982, 2000} {
		v := viewOf(now, nodes)
		b.Run(fmt.Sprint("sorted/", nodes), func(b *testing.B) {
			for b.Loop() {
				v.Targets()
			}
		})
		b.Run(fmt.Sprint("first/", nodes), func(b *testing.B) {
			for b.Loop() {
				v.FirstTarget(func(target *Target) bool { return target.State == Gone })
			}
		})
	}
}
