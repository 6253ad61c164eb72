package choose

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simTarget is a target that answers one request every answerInterval while it has any.
type simTarget struct {
	zone           int
	answerInterval time.Duration
	queue          int
	credit         time.Duration
}

// simReport is a balancer's last load report of a target, the flows that it has sent since, and
// when the next report is due.
type simReport struct {
	busy, sent int
	next       time.Time
}

const (
	simSlots   = 3
	simTargets = 12
	simStep    = 5 * time.Millisecond
)

// simulateZones lets the callers of two zones send flows for 12 s, chosen by stale load reports:
// those of the same zone are up to a second old, those of the other zone up to 2.5 s. load is
// the demand of each zone as a share of its capacity. It returns for each zone and second the
// share of flows that crossed zones.
func simulateZones(w Weights, load [2]float64, rnd *rand.Rand) [2][]float64 {
	const balancers, length = 8, 12 * time.Second
	var targets []*simTarget
	capacity := [2]float64{}
	for i := range 2 * simTargets {
		t := &simTarget{zone: i % 2, answerInterval: 20 * time.Millisecond}
		if i%4 < 2 {
			t.answerInterval = 9 * time.Millisecond
		}
		capacity[t.zone] += 1 / t.answerInterval.Seconds()
		targets = append(targets, t)
	}
	reports := make([][]simReport, 2*balancers)
	for b := range reports {
		reports[b] = make([]simReport, len(targets))
	}
	var out [2][]float64
	sent, crossed := [2]float64{}, [2]float64{}
	due := [2]float64{}
	start := time.Unix(0, 0)
	for now := start; now.Sub(start) < length; now = now.Add(simStep) {
		for zone := range 2 {
			for due[zone] += load[zone] * capacity[zone] * simStep.Seconds(); due[zone] >= 1; due[zone]-- {
				view := reports[2*rnd.IntN(balancers)+zone]
				offers := offersOf(now, targets, view, zone, rnd)
				i := w.Cheapest(offers, TypicalServiceTime(offers), rnd)
				view[i].sent++
				targets[i].queue++
				sent[zone]++
				if targets[i].zone != zone {
					crossed[zone]++
				}
			}
		}
		for _, t := range targets {
			t.serve()
		}
		if now.Sub(start)%time.Second == time.Second-simStep {
			for zone := range 2 {
				out[zone] = append(out[zone], crossed[zone]/sent[zone])
			}
			sent, crossed = [2]float64{}, [2]float64{}
		}
	}
	return out
}

func (t *simTarget) serve() {
	t.credit += simStep
	for ; t.credit >= t.answerInterval && t.queue > 0; t.credit -= t.answerInterval {
		t.queue--
	}
	if t.queue == 0 {
		t.credit = min(t.credit, t.answerInterval)
	}
}

// offersOf returns the offers that a balancer sees, and refreshes the load reports that are due.
func offersOf(now time.Time, targets []*simTarget, view []simReport, zone int, rnd *rand.Rand) []Offer {
	offers := make([]Offer, len(targets))
	for i, t := range targets {
		r := &view[i]
		if !now.Before(r.next) {
			age := 200*time.Millisecond + time.Duration(rnd.Int64N(int64(800*time.Millisecond)))
			if t.zone != zone {
				age = 2500 * time.Millisecond
			}
			*r = simReport{busy: t.queue, next: now.Add(age)}
		}
		offers[i] = Offer{Outstanding: r.busy, Sent: r.sent, Slots: simSlots, AnswerInterval: t.answerInterval, CrossZone: t.zone != zone}
	}
	return offers
}

// maxSpill is the share of its flows that a zone with headroom may send to the other zone. It
// would be zero but for draws of two random local targets that are both busy, a tenth.
const maxSpill = 0.1

// TestZonesDoNotFlapOnStaleLoadReports: a zone with 1.3 times its capacity sends its surplus to
// the other zone, at a steady rate from second to second, and the zone with headroom keeps its
// own flows.
func TestZonesDoNotFlapOnStaleLoadReports(t *testing.T) {
	for seed := range uint64(3) {
		crossed := simulateZones(weights, [2]float64{1.3, 0.5}, rand.New(rand.NewPCG(seed, 1)))
		for second := 4; second < len(crossed[0]); second++ {
			full, spare := crossed[0][second], crossed[1][second]
			require.Greater(t, full, 0.1, "seed %d second %d: the surplus is 0.23", seed, second)
			require.Less(t, full, 0.5, "seed %d second %d", seed, second)
			require.Less(t, spare, maxSpill, "seed %d second %d", seed, second)
		}
	}
}

// TestZonesWithHeadroomKeepTheirTraffic: neither of two zones at 0.7 of its capacity sends flows
// to the other.
func TestZonesWithHeadroomKeepTheirTraffic(t *testing.T) {
	crossed := simulateZones(weights, [2]float64{0.7, 0.7}, rand.New(rand.NewPCG(1, 1)))
	for zone := range 2 {
		for second := 2; second < len(crossed[zone]); second++ {
			require.Less(t, crossed[zone][second], maxSpill, "zone %d second %d", zone, second)
		}
	}
}

// TestOtherZonePrice: a stated price is the extra delay from which on a flow crosses zones,
// whatever the service time.
func TestOtherZonePrice(t *testing.T) {
	local := Offer{Slots: 4, Outstanding: 7, AnswerInterval: 10 * time.Millisecond}
	remote := Offer{Slots: 4, AnswerInterval: 10 * time.Millisecond, CrossZone: true}
	for price, want := range map[time.Duration]int{0: 1, 60 * time.Millisecond: 1, 80 * time.Millisecond: 0} {
		w := Weights{CrossZoneCost: 1, CrossZonePrice: price, Warming: 1.6}
		offers := []Offer{local, remote}
		require.Equal(t, want, w.Cheapest(offers, TypicalServiceTime(offers), rand.New(rand.NewPCG(1, 1))), price)
	}
}
