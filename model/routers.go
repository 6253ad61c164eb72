package model

import (
	"time"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/model/sim"
)

// routers choose a balancer for each packet, as the platform's do: by a hash of
// the flow over those of the client's zone that are in rotation.
type routers struct {
	world   *sim.World
	byZone  [][]*member
	present []*sim.Balancer
}

// member is a balancer as the routers see it.
type member struct {
	*sim.Balancer
	in     bool
	misses int
}

const (
	// checkPeriod is between two health checks of a balancer; after maxMisses it is
	// out of rotation until it answers.
	checkPeriod = 500 * time.Millisecond
	maxMisses   = 2
)

func newRouters(w *sim.World, zones int) *routers {
	return &routers{world: w, byZone: make([][]*member, zones)}
}

// add puts a balancer under the routers' checks.
func (r *routers) add(zone int, b *sim.Balancer) {
	m := &member{Balancer: b, in: true}
	r.byZone[zone] = append(r.byZone[zone], m)
	r.world.Every(checkPeriod, func() bool {
		m.check(r.world.Now)
		return true
	})
}

func (m *member) check(now time.Time) {
	if m.Up && m.Core.Ready(now) {
		m.in, m.misses = true, 0
		return
	}
	m.misses++
	m.in = m.in && m.misses < maxMisses
}

// pick returns the balancer for a packet, nil when there is none at all. Where
// fewer than half of a zone's are in rotation, all of them are used.
func (r *routers) pick(zone int, key flow.Key) *sim.Balancer {
	for i := range r.byZone {
		members := r.byZone[(zone+i)%len(r.byZone)]
		if len(members) == 0 {
			continue
		}
		r.present = r.present[:0]
		for _, m := range members {
			if m.in {
				r.present = append(r.present, m.Balancer)
			}
		}
		if 2*len(r.present) < len(members) {
			return members[key.Hash()%uint64(len(members))].Balancer
		}
		return r.present[key.Hash()%uint64(len(r.present))]
	}
	return nil
}
