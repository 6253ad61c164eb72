package operator

import (
	"math/rand/v2"
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

const (
	self    = flow.IPv4(0x0a000001)
	peer    = flow.IPv4(0x0a000002)
	targetA = flow.IPv4(0x0a010001)
	targetB = flow.IPv4(0x0a010002)
)

var alpha = flow.ServiceIDOf("alpha")

// changeRecorder implements Listener and records the changes.
type changeRecorder struct {
	configs int
	// evacuations are those of each change, previous those before it, from where it came from.
	evacuations, previous []flow.Evacuations
	from                  []Origin
}

func (r *changeRecorder) ConfigChanged(time.Time) { r.configs++ }

func (r *changeRecorder) EvacuationsChanged(_ time.Time, next, previous flow.Evacuations, from Origin) {
	r.evacuations, r.previous, r.from = append(r.evacuations, next), append(r.previous, previous), append(r.from, from)
}

// fixture is the state of a balancer that started a while ago and has configuration 5.
type fixture struct {
	*State
	view    *fleet.View
	changes changeRecorder
	now     time.Time
	seq     uint32
}

func newFixture() *fixture {
	f := &fixture{view: fleet.NewView(), now: time.Unix(1_700_000_000, 0)}
	f.State = New(f.now, Options{Self: self, FollowTime: time.Second}, f.view, &f.changes, rand.New(rand.NewPCG(1, 1)))
	f.SetConfig(f.now, config(5))
	f.now = f.now.Add(3 * time.Second)
	return f
}

func config(version int64) *flow.Config { return &flow.Config{Version: version} }
