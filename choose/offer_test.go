package choose

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var weights = Weights{CrossZoneCost: 1, Warming: 1.6}

const typical = 50 * time.Millisecond

func TestDelay(t *testing.T) {
	idle := Offer{Slots: 4}
	for name, worse := range map[string]Offer{
		"busy":          {Slots: 4, Outstanding: 3},
		"sent to since": {Slots: 4, Sent: 1},
		"fewer slots":   {Slots: 2},
		"other zone":    {Slots: 4, CrossZone: true},
		"warming":       {Slots: 4, Warming: true},
		"to be avoided": {Slots: 400, Avoid: true},
		"slower":        {Slots: 4, AnswerInterval: 20 * time.Millisecond},
		"no slots":      {},
	} {
		require.Greater(t, weights.Delay(worse, typical), weights.Delay(idle, typical), name)
	}
}

func TestCheapestPrefersLocalZoneUntilSlotsAreTaken(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	local, remote := Offer{Slots: 4, Outstanding: 3}, Offer{Slots: 4, CrossZone: true}
	require.Equal(t, 0, weights.Cheapest([]Offer{local, remote}, typical, rnd))
	local.Outstanding = 5
	require.Equal(t, 1, weights.Cheapest([]Offer{local, remote}, typical, rnd))
}

func TestCheapestSkipsAvoidedOffersWhileOthersExist(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var offers []Offer
		usable := false
		for range rapid.IntRange(1, 12).Draw(t, "targets") {
			o := Offer{
				Slots: 4, Outstanding: rapid.IntRange(0, 40).Draw(t, "busy"),
				CrossZone: rapid.Bool().Draw(t, "other"), Avoid: rapid.Bool().Draw(t, "avoid"),
			}
			usable = usable || !o.Avoid
			offers = append(offers, o)
		}
		i := weights.Cheapest(offers, typical, rnd)
		require.GreaterOrEqual(t, i, 0)
		require.Equal(t, !usable, offers[i].Avoid)
	})
}

func TestCheapestOfNone(t *testing.T) {
	require.Equal(t, -1, weights.Cheapest(nil, typical, rand.New(rand.NewPCG(1, 1))))
}

// TestStaleLoadReportsDoNotCauseHerding: balancers with the same old load reports spread their
// flows over the idle targets.
func TestStaleLoadReportsDoNotCauseHerding(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	count := make([]int, 6)
	for range 4 {
		offers := make([]Offer, 6)
		for i := range offers {
			offers[i].Slots = 5
		}
		for range 60 {
			i := weights.Cheapest(offers, typical, rnd)
			offers[i].Sent++
			count[i]++
		}
	}
	for i := range count {
		require.InDelta(t, 40, count[i], 12, count)
	}
}

// TestServiceTimeDecidesBetweenUnequalTargets: the requests at a target are weighted with its
// service time; a target without an observation counts as typical.
func TestServiceTimeDecidesBetweenUnequalTargets(t *testing.T) {
	const fast, slow = 7 * time.Millisecond, 20 * time.Millisecond
	for name, c := range map[string]struct {
		better, worse Offer
	}{
		"both idle":                     {Offer{Slots: 3, AnswerInterval: fast}, Offer{Slots: 3, AnswerInterval: slow}},
		"fast one twice as busy":        {Offer{Slots: 3, AnswerInterval: fast, Outstanding: 4}, Offer{Slots: 3, AnswerInterval: slow, Outstanding: 2}},
		"fast one three times as busy":  {Offer{Slots: 3, AnswerInterval: slow, Outstanding: 2}, Offer{Slots: 3, AnswerInterval: fast, Outstanding: 9}},
		"unknown against a slow one":    {Offer{Slots: 3}, Offer{Slots: 3, AnswerInterval: slow}},
		"a fast one against an unknown": {Offer{Slots: 3, AnswerInterval: fast}, Offer{Slots: 3}},
		"sent since":                    {Offer{Slots: 3, AnswerInterval: slow}, Offer{Slots: 3, AnswerInterval: fast, Sent: 3}},
	} {
		require.Less(t, weights.Delay(c.better, typical), weights.Delay(c.worse, typical), name)
	}
}

// TestAlikeTargetsAreChosenByLoad: if all targets are equally fast, or none was observed, they
// are ordered by requests per slot, whatever the service time.
func TestAlikeTargetsAreChosenByLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		each := time.Duration(rapid.IntRange(0, 1000).Draw(t, "each")) * 100 * time.Microsecond
		offer := func(name string) Offer {
			return Offer{Slots: 4, Outstanding: rapid.IntRange(0, 100).Draw(t, name), AnswerInterval: each, CrossZone: rapid.Bool().Draw(t, name+" other zone")}
		}
		a, b := offer("a"), offer("b")
		at := TypicalServiceTime([]Offer{a, b})
		load := func(o Offer) int {
			if o.CrossZone {
				return o.Outstanding + o.Slots
			}
			return o.Outstanding
		}
		require.Equal(t, load(a) < load(b), weights.Delay(a, at) < weights.Delay(b, at))
	})
}

func TestTypicalService(t *testing.T) {
	require.Equal(t, defaultServiceTime, TypicalServiceTime(nil))
	require.Equal(t, defaultServiceTime, TypicalServiceTime([]Offer{{Slots: 4}}))
	offers := []Offer{{Slots: 4}, {Slots: 4, AnswerInterval: time.Millisecond}, {Slots: 2, AnswerInterval: 30 * time.Millisecond}, {Slots: 4, AnswerInterval: 10 * time.Millisecond}}
	require.Equal(t, 40*time.Millisecond, TypicalServiceTime(offers))
	require.Equal(t, 60*time.Millisecond, TypicalServiceTime(offers[:3]), "the higher one of two")
	require.NotPanics(t, func() { TypicalServiceTime(make([]Offer, 3*maxObserved)) })
}

// TestAvoidedTargetsKeepTheirOrder: avoided targets come after all others, however slow those
// are, and are ordered by delay.
func TestAvoidedTargetsKeepTheirOrder(t *testing.T) {
	remote := Offer{Slots: 1, Outstanding: 1 << 15, AnswerInterval: 6 * time.Second, CrossZone: true}
	idle, busy := Offer{Slots: 4, Avoid: true}, Offer{Slots: 4, Outstanding: 9, Avoid: true}
	require.Less(t, weights.Delay(remote, typical), weights.Delay(idle, typical))
	require.Less(t, weights.Delay(idle, typical), weights.Delay(busy, typical))
}

func BenchmarkCheapest(b *testing.B) {
	rnd := rand.New(rand.NewPCG(1, 1))
	offers := make([]Offer, 8)
	for i := range offers {
		offers[i] = Offer{Slots: 3, AnswerInterval: time.Duration(i) * time.Millisecond}
	}
	b.ReportAllocs()
	for b.Loop() {
		weights.Cheapest(offers, TypicalServiceTime(offers), rnd)
	}
}
