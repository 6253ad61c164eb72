package operator

import (
	"math/rand/v2"
	"time"

	"github.com/poppywall/poppywall/flow"
)

// Fleet is the view of the other nodes; fleet.View implements it.
type Fleet interface {
	// NewestConfig returns the balancer with the highest configuration version above the given one.
	NewestConfig(above int64) (balancer flow.IPv4, version int64, ok bool)
	// NewestConfigCopy returns an agent with the highest version among the agents' copies; pick
	// chooses among several, by their number.
	NewestConfigCopy(now time.Time, except func(flow.IPv4) bool, pick func(n int) int) (agent flow.IPv4, version int64, ok bool)
	// HasTarget reports whether an address is that of a target's agent.
	HasTarget(ip flow.IPv4) bool
	// MustFeed reports whether a balancer has to watch the store.
	MustFeed(now time.Time, self flow.IPv4, zone flow.Tag) bool
}

// Listener is notified of each change that comes into force, under the lock of the State's owner.
type Listener interface {
	ConfigChanged(now time.Time)
	// EvacuationsChanged reports that the set of evacuated zones has changed; from is where
	// the change came from.
	EvacuationsChanged(now time.Time, next, previous flow.Evacuations, from Origin)
}

// Origin is where a change came from: a node, by its address, or the store.
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

// Options are the parameters of a State.
type Options struct {
	// Self and Zone are the balancer's address and zone.
	Self flow.IPv4
	Zone flow.Tag
	// FollowTime is how long after an answer of the store a balancer counts as following it: a
	// watch's waiting time and its timeout.
	FollowTime time.Duration
}

// State is the operator's state at one balancer. It is not safe for concurrent use; its owner
// holds a lock.
type State struct {
	opts      Options
	fleet     Fleet
	listener  Listener
	rnd       *rand.Rand
	startedAt time.Time

	config *flow.Config
	// evacuations are the evacuated zones, as of the highest revision seen.
	evacuations flow.Evacuations
	gap         gap
	// undecodableVersion is the highest version of other balancers that does not decode here.
	undecodableVersion int64
	// copyRetryAt is when an agent whose copy of the configuration could not be fetched or
	// decoded may be asked again; nextCopyFetchAt is when any agent may be.
	copyRetryAt     map[flow.IPv4]time.Time
	nextCopyFetchAt time.Time
	// storeAnsweredAt is when the store last answered a read or a watch.
	storeAnsweredAt time.Time
}

// New returns the state of a balancer that has just started, with nothing in force.
func New(now time.Time, opts Options, fleet Fleet, listener Listener, rnd *rand.Rand) *State {
	return &State{opts: opts, fleet: fleet, listener: listener, rnd: rnd, startedAt: now, copyRetryAt: map[flow.IPv4]time.Time{}}
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

// SetConfig puts a configuration in force if it is newer than the current one, and reports
// whether it was.
func (s *State) SetConfig(now time.Time, next *flow.Config) bool {
	if s.config != nil && next.Version <= s.config.Version {
		return false
	}
	s.config = next
	s.listener.ConfigChanged(now)
	return true
}

// Evacuations returns the evacuated zones in force.
func (s *State) Evacuations() flow.Evacuations { return s.evacuations }

// Evacuated reports whether a zone is evacuated. Cost: a comparison for each evacuated zone.
func (s *State) Evacuated(zone flow.Tag) bool { return s.evacuations.Has(zone) }

// SetEvacuations puts evacuations in force if they are newer than the current ones; from is
// where they came from.
func (s *State) SetEvacuations(now time.Time, next flow.Evacuations, from Origin) {
	previous := s.evacuations
	if _, differ := s.evacuations.ReplaceIfNewer(next); differ {
		s.listener.EvacuationsChanged(now, next, previous, from)
	}
}

// MustFeed reports whether this balancer has to watch the store.
func (s *State) MustFeed(now time.Time) bool { return s.fleet.MustFeed(now, s.opts.Self, s.opts.Zone) }

// StoreAnswered records that the store answered.
func (s *State) StoreAnswered(now time.Time) { s.storeAnsweredAt = now }

// SinceStoreAnswer returns how long ago the store last answered.
func (s *State) SinceStoreAnswer(now time.Time) time.Duration { return now.Sub(s.storeAnsweredAt) }

// IsFeeding reports whether this balancer follows the store, so that others can fetch new
// configurations from it.
func (s *State) IsFeeding(now time.Time) bool {
	return s.SinceStoreAnswer(now) <= s.opts.FollowTime && s.MustFeed(now)
}
