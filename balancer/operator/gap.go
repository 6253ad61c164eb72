package operator

import (
	"time"

	"github.com/poppywall/poppywall/flow"
)

// Delays of a balancer whose configuration is older than that of others.
const (
	// peerFetchDelay is how long a balancer waits for its own watch before it fetches a newer
	// configuration from another balancer.
	peerFetchDelay = 250 * time.Millisecond
	// storeReadDelay is how long a balancer, whether it watches the store or not, tries to fetch a
	// newer configuration before it reads the store as well: a successful fetch takes 0.2 s, a
	// failed one 0.5 s, and a change has to be in force within 3 s.
	storeReadDelay = time.Second
	// copyFetchDelay is how long a balancer without a configuration waits for the store, which
	// answers in milliseconds, and for other balancers before it fetches an agent's copy.
	// copyFetchInterval is the pause between two such fetches.
	copyFetchDelay    = 150 * time.Millisecond
	copyFetchInterval = 100 * time.Millisecond
	// watchDelay is how long after its start a balancer does not watch the store yet: it first
	// has to learn which balancers do. The watch then returns the changes since the first read.
	watchDelay = 500 * time.Millisecond
	// failedFetchBackoff is how long an agent is not asked again after the fetch of its copy
	// failed or was incomplete, or the copy did not decode.
	failedFetchBackoff = 5 * time.Second
)

// StoreDuty is how a balancer has to use the store to follow the configuration.
type StoreDuty uint8

// Duties at the store.
const (
	// DutyNone: others watch, and this balancer learns of changes from them.
	DutyNone StoreDuty = iota
	// DutyWatch: read once, then follow the changes.
	DutyWatch
	// DutyRead: others have a newer configuration that could not be fetched; read the
	// one in force from the store.
	DutyRead
)

// gap is a newer configuration that others have in force.
type gap struct {
	// since is when the gap was first seen, or when a newer configuration was fetched that is
	// not decoded yet; zero without a gap. Whenever the local version rises, a new gap begins.
	since time.Time
	// localVersion is the version in force here.
	localVersion int64
	// peer is the balancer that has the newest version.
	peer    flow.IPv4
	version int64
}

// updateGap checks whether another balancer has a newer configuration than this one.
func (s *State) updateGap(now time.Time) gap {
	localVersion := s.ConfigVersion()
	peer, version, newer := s.fleet.NewestConfig(max(localVersion, s.undecodableVersion))
	switch {
	case !newer:
		s.gap = gap{localVersion: localVersion}
	case s.gap.since.IsZero() || s.gap.localVersion != localVersion:
		s.gap = gap{since: now, localVersion: localVersion, peer: peer, version: version}
	default:
		s.gap.peer, s.gap.version = peer, version
	}
	return s.gap
}

// olderThan reports whether there is a gap and it has lasted for at least delay.
func (g *gap) olderThan(now time.Time, delay time.Duration) bool {
	return !g.since.IsZero() && now.Sub(g.since) >= delay
}

// FetchFrom returns a node to fetch a configuration from, and its version, if a fetch is due.
// A newer configuration is fetched from a balancer: at once if this balancer does not watch
// the store or has no configuration, after peerFetchDelay if it watches. Without any
// configuration it may be an agent's copy.
func (s *State) FetchFrom(now time.Time) (peer flow.IPv4, version int64, due bool) {
	g := s.updateGap(now)
	if g.since.IsZero() {
		return s.nextAgentCopy(now)
	}
	return g.peer, g.version, g.localVersion == 0 || !s.MustFeed(now) || g.olderThan(now, peerFetchDelay)
}

// nextAgentCopy returns an agent that holds a copy of a configuration, for a balancer that has
// none, once the store has had time to answer and while no balancer has one. The copy may be
// outdated: what the store or a balancer supplies replaces it.
func (s *State) nextAgentCopy(now time.Time) (agent flow.IPv4, version int64, due bool) {
	if s.config != nil || now.Sub(s.startedAt) < copyFetchDelay || now.Before(s.nextCopyFetchAt) {
		return 0, 0, false
	}
	s.nextCopyFetchAt = now.Add(copyFetchInterval)
	return s.fleet.NewestConfigCopy(now, func(ip flow.IPv4) bool { return now.Before(s.copyRetryAt[ip]) }, s.rnd.IntN)
}

// StoreDuty returns the current duty at the store.
func (s *State) StoreDuty(now time.Time) StoreDuty {
	g := s.updateGap(now)
	switch {
	case g.localVersion != 0 && g.olderThan(now, storeReadDelay):
		return DutyRead
	case s.storeAnsweredAt.IsZero() && (g.localVersion == 0 || s.MustFeed(now)):
		return DutyWatch
	case now.Sub(s.startedAt) >= watchDelay && s.MustFeed(now):
		return DutyWatch
	default:
		return DutyNone
	}
}

// FetchSucceeded records that a newer configuration was fetched. The gap starts anew: reading
// the configuration from the store as well would take link capacity and processor time that
// its decoding needs.
func (s *State) FetchSucceeded(now time.Time) {
	if !s.gap.since.IsZero() {
		s.gap.since = now
	}
}

// RejectVersion records that a fetched configuration does not decode here. From a balancer,
// the version is not fetched again. From an agent, only that agent's copy is avoided for
// failedFetchBackoff: agents do not validate the copies that they hold, so the copy proves
// nothing about the version.
func (s *State) RejectVersion(now time.Time, from flow.IPv4, version int64) {
	if !s.FetchFailed(now, from) {
		s.undecodableVersion = max(s.undecodableVersion, version)
	}
}

// FetchFailed records that a node did not supply a usable configuration. It reports whether
// the node is an agent, whose copy is then avoided for failedFetchBackoff.
func (s *State) FetchFailed(now time.Time, from flow.IPv4) bool {
	if !s.fleet.HasTarget(from) {
		return false
	}
	s.copyRetryAt[from] = now.Add(failedFetchBackoff)
	return true
}
