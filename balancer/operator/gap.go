package operator

import (
	"time"

	"github.com/poppywall/poppywall/flow"
)

// Times of a balancer that is behind others.
const (
	// peerPatience is how long a balancer waits for its own watch before it
	// fetches a newer configuration from another balancer.
	peerPatience = 250 * time.Millisecond
	// storePatience is how long a balancer that relies on others tries to fetch a newer
	// configuration before it reads the store as well: a fetch that works takes 0.2 s,
	// one that does not 0.5 s, and a change has to be in force within 3 s.
	storePatience = time.Second
	// keptPatience is how long a balancer without a configuration waits for the store,
	// which answers in milliseconds, and for other balancers before it takes an agent's
	// copy; keptPause is the pause between two that it asks.
	keptPatience = 150 * time.Millisecond
	keptPause    = 100 * time.Millisecond
	// watchDelay is how long after its start a balancer does not watch the store yet: it
	// has to hear of those that do. A watch tells what has changed meanwhile.
	watchDelay = 500 * time.Millisecond
	// badKeptTime is how long an agent is left alone whose copy did not come whole.
	badKeptTime = 5 * time.Second
)

// StoreDuty is what a balancer has to do at the store for the configuration.
type StoreDuty uint8

// The duties.
const (
	// DutyNone: others watch, this one hears of changes from them.
	DutyNone StoreDuty = iota
	// DutyWatch: read once, then follow the changes.
	DutyWatch
	// DutyRead: others have a newer configuration and this one does not get it; read
	// what is in force.
	DutyRead
)

// gap is a newer configuration that others have in force.
type gap struct {
	// since is when it was first seen, or when a newer configuration came that is
	// not decoded yet, zero time without one; each progress of the own version begins a
	// new one.
	since time.Time
	// own is the version in force here.
	own int64
	// peer has the newest version.
	peer    flow.IPv4
	version int64
}

// compareConfigs looks for a configuration of others that is newer than the own one.
func (s *State) compareConfigs(now time.Time) gap {
	own := s.ConfigVersion()
	peer, version, newer := s.fleet.Newest(max(own, s.refusedConfig))
	switch {
	case !newer:
		s.gap = gap{own: own}
	case s.gap.since.IsZero() || s.gap.own != own:
		s.gap = gap{since: now, own: own, peer: peer, version: version}
	default:
		s.gap.peer, s.gap.version = peer, version
	}
	return s.gap
}

// lasted tells whether the gap has been there for a time.
func (g *gap) lasted(now time.Time, patience time.Duration) bool {
	return !g.since.IsZero() && now.Sub(g.since) >= patience
}

// FetchFrom returns a balancer to fetch a newer configuration from, and its
// version, when that is due: at once for a balancer that relies on others, after
// its own watch had its time for one that does not.
func (s *State) FetchFrom(now time.Time) (peer flow.IPv4, version int64, due bool) {
	g := s.compareConfigs(now)
	if g.since.IsZero() {
		return s.fetchKept(now)
	}
	return g.peer, g.version, g.own == 0 || !s.Feeds(now) || g.lasted(now, peerPatience)
}

// fetchKept returns an agent that keeps a copy of a configuration for a balancer that has
// none, after the store had its time and while no balancer has one. The copy may be an
// older one: what the store answers, or a balancer has, takes its place.
func (s *State) fetchKept(now time.Time) (agent flow.IPv4, version int64, due bool) {
	if s.config != nil || now.Sub(s.startedAt) < keptPatience || now.Before(s.nextKept) {
		return 0, 0, false
	}
	s.nextKept = now.Add(keptPause)
	return s.fleet.NewestKept(now, func(ip flow.IPv4) bool { return now.Before(s.badKept[ip]) }, s.rnd.IntN)
}

// StoreDuty returns what to do at the store now.
func (s *State) StoreDuty(now time.Time) StoreDuty {
	g := s.compareConfigs(now)
	switch {
	case g.own != 0 && g.lasted(now, storePatience):
		return DutyRead
	case s.fedAt.IsZero() && (g.own == 0 || s.Feeds(now)):
		return DutyWatch
	case now.Sub(s.startedAt) >= watchDelay && s.Feeds(now):
		return DutyWatch
	default:
		return DutyNone
	}
}

// Fetched notes that a newer configuration has come from another balancer: to read it
// at the store as well would take the link and the processor that its decoding
// needs.
func (s *State) Fetched(now time.Time) {
	if !s.gap.since.IsZero() {
		s.gap.since = now
	}
}

// RefuseConfig notes that a version that another balancer has does not decode here: it is
// not fetched again. An agent's copy says nothing of the version, for agents do not look
// into what they keep; that agent is left alone for a while.
func (s *State) RefuseConfig(now time.Time, from flow.IPv4, version int64) {
	if !s.NotFetched(now, from) {
		s.refusedConfig = max(s.refusedConfig, version)
	}
}

// NotFetched notes that no configuration came from a node. It tells whether that is an
// agent; others are asked first then.
func (s *State) NotFetched(now time.Time, from flow.IPv4) bool {
	if !s.fleet.KnowsTarget(from) {
		return false
	}
	s.badKept[from] = now.Add(badKeptTime)
	return true
}
