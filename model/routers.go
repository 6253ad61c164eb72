package model

import (
	"time"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/model/sim"
)

// routers choose a balancer for each packet as the platform's routers do: by a hash of the flow
// over the balancers of the client's zone that are in rotation.
type routers struct {
	world      *sim.World
	byZone     [][]*member
	candidates []*sim.Balancer
}

// member is a balancer with its health state at the routers.
type member struct {
	*sim.Balancer
	inRotation   bool
	missedChecks int
}

const (
	// healthCheckPeriod is the period of health checks of a balancer. After maxMissedChecks
	// failed checks it is out of rotation until a check succeeds.
	healthCheckPeriod = 500 * time.Millisecond
	maxMissedChecks   = 2
)

func newRouters(w *sim.World, zones int) *routers {
	return &routers{world: w, byZone: make([][]*member, zones)}
}

// add adds a balancer to a zone and starts its health checks.
func (r *routers) add(zone int, b *sim.Balancer) {
	m := &member{Balancer: b, inRotation: true}
	r.byZone[zone] = append(r.byZone[zone], m)
	r.world.Every(healthCheckPeriod, func() bool {
		m.check(r.world.Now)
		return true
	})
}

func (m *member) check(now time.Time) {
	if m.Up && m.Core.Ready(now) {
		m.inRotation, m.missedChecks = true, 0
		return
	}
	m.missedChecks++
	m.inRotation = m.inRotation && m.missedChecks < maxMissedChecks
}

// pick returns the balancer for a packet, nil if there is none in any zone. If fewer than half
// of a zone's balancers are in rotation, all of them are used. A zone without balancers uses
// those of the next zone.
func (r *routers) pick(zone int, key flow.Key) *sim.Balancer {
	for i := range r.byZone {
		members := r.byZone[(zone+i)%len(r.byZone)]
		if len(members) == 0 {
			continue
		}
		r.candidates = r.candidates[:0]
		for _, m := range members {
			if m.inRotation {
				r.candidates = append(r.candidates, m.Balancer)
			}
		}
		if 2*len(r.candidates) < len(members) {
			return members[key.Hash()%uint64(len(members))].Balancer
		}
		return r.candidates[key.Hash()%uint64(len(r.candidates))]
	}
	return nil
}
