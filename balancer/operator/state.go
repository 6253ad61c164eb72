package operator

import (
	"math/rand/v2"
	"time"

	"github.com/poppywall/poppywall/flow"
)

// Fleet is what a state needs to know of other nodes; a fleet.View is one.
type Fleet interface {
	// Newest returns the balancer with the highest configuration above a version.
	Newest(above int64) (balancer flow.IPv4, version int64, ok bool)
	// NewestKept returns an agent with the highest copy, and pick chooses among several.
	NewestKept(now time.Time, except func(flow.IPv4) bool, pick func(n int) int) (agent flow.IPv4, version int64, ok bool)
	// KnowsTarget tells whether an address is that of a target's agent.
	KnowsTarget(ip flow.IPv4) bool
	// Feeds tells whether a balancer has to watch the store.
	Feeds(now time.Time, self flow.IPv4, zone flow.Tag) bool
}

// Listener hears what comes into force, at once and under the owner's lock.
type Listener interface {
	ConfigChanged(now time.Time)
	// EvacuationsChanged tells that other zones than formerly are emptied; from is who
	// told it.
	EvacuationsChanged(now time.Time, next, former flow.Evacuations, from Origin)
}

// Origin is who has told something: a node, by its address, or the store.
type Origin flow.IPv4

// FromStore is the store.
const FromStore Origin = 0

// String returns the node's address or "store".
func (o Origin) String() string {
	if o == FromStore {
		return "store"
	}
	return flow.IPv4(o).String()
}

// Options are a state's parameters.
type Options struct {
	// Self and Zone are the balancer's.
	Self flow.IPv4
	Zone flow.Tag
	// FeedTime is how long after an answer of the store a balancer counts as fed:
	// a watch's waiting time and its time-out.
	FeedTime time.Duration
}

// State is the operator's state at one balancer. It is not safe for concurrent use; its
// owner holds a lock.
type State struct {
	opts      Options
	fleet     Fleet
	listener  Listener
	rnd       *rand.Rand
	startedAt time.Time

	config *flow.Config
	// evacuations are the emptied zones, as of the highest revision heard of.
	evacuations flow.Evacuations
	gap         gap
	// refusedConfig is the highest version of others that does not decode here.
	refusedConfig int64
	// badKept are agents whose copy of the configuration did not come or does not decode,
	// with when they may be asked again; nextKept is when another one may be.
	badKept  map[flow.IPv4]time.Time
	nextKept time.Time
	// fedAt is when the store answered a read or a watch of the configuration.
	fedAt time.Time
}

// New returns the state of a balancer that has just started and knows nothing.
func New(now time.Time, opts Options, fleet Fleet, listener Listener, rnd *rand.Rand) *State {
	return &State{opts: opts, fleet: fleet, listener: listener, rnd: rnd, startedAt: now, badKept: map[flow.IPv4]time.Time{}}
}

// Config returns the configuration in force, nil before the first.
func (s *State) Config() *flow.Config { return s.config }

// ConfigVersion returns the version in force, zero before the first.
func (s *State) ConfigVersion() int64 {
	if s.config == nil {
		return 0
	}
	return s.config.Version
}

// SetConfig puts a configuration in force unless it is older than the present one.
func (s *State) SetConfig(now time.Time, next *flow.Config) bool {
	if s.config != nil && next.Version <= s.config.Version {
		return false
	}
	s.config = next
	s.listener.ConfigChanged(now)
	return true
}

// Evacuations returns the emptied zones in force.
func (s *State) Evacuations() flow.Evacuations { return s.evacuations }

// Emptied tells whether a zone is emptied. Cost: a comparison for each emptied zone.
func (s *State) Emptied(zone flow.Tag) bool { return s.evacuations.Has(zone) }

// SetEvacuations puts evacuations in force unless they are older than the present ones;
// from is who told them.
func (s *State) SetEvacuations(now time.Time, next flow.Evacuations, from Origin) {
	former := s.evacuations
	if _, differ := s.evacuations.TakeOver(next); differ {
		s.listener.EvacuationsChanged(now, next, former, from)
	}
}

// Feeds tells whether this balancer has to watch the store.
func (s *State) Feeds(now time.Time) bool { return s.fleet.Feeds(now, s.opts.Self, s.opts.Zone) }

// Fed notes that the store answered.
func (s *State) Fed(now time.Time) { s.fedAt = now }

// SinceFed returns how long ago the store answered last.
func (s *State) SinceFed(now time.Time) time.Duration { return now.Sub(s.fedAt) }

// Feeding tells whether a new configuration would come from here.
func (s *State) Feeding(now time.Time) bool {
	return s.SinceFed(now) <= s.opts.FeedTime && s.Feeds(now)
}
