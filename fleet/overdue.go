package fleet

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/flow"
)

// Times of asking a node that others have fallen silent about.
const (
	// askPeriods is how many of its periods a node may stay unheard before it is asked.
	askPeriods = 1.5
	// askPause is the pause between two questions, askTries their number: all are asked
	// before the node counts as quiet.
	askPause = 400 * time.Millisecond
	askTries = 4
)

// contact tells how a node is heard.
type contact struct {
	// relayed nodes are heard through relays.
	relayed bool
	// tries counts the questions since the node was heard, next is when another one
	// may follow.
	tries int
	next  time.Time
}

// heard notes a message of the node.
func (s *contact) heard() { s.tries, s.next = 0, time.Time{} }

// ask tells whether the node is to be asked now.
func (s *contact) ask(now, heardAt time.Time, patience time.Duration) bool {
	if s.tries >= askTries || now.Before(s.next) || now.Sub(heardAt) <= patience {
		return false
	}
	s.tries++
	s.next = now.Add(askPause)
	return true
}

// patience is how long a node with a period may stay unheard before it is asked.
func patience(period time.Duration) time.Duration {
	return time.Duration(askPeriods * float64(max(period, NearPeriod)))
}

// OverdueTargets returns the targets of other zones that those who relay their messages
// have fallen silent about, and that are to be asked now. all tells that the nodes of
// other zones use relays in the own one, so that any may be heard through others.
func (v *View) OverdueTargets(now time.Time, own flow.Tag, all bool) []flow.IPv4 {
	var out []flow.IPv4
	for ip, h := range v.targets {
		if h.Zone != own && (all || h.relayed) && h.ask(now, h.HeardAt, patience(h.Period)) {
			out = append(out, ip)
		}
	}
	slices.Sort(out)
	return out
}

// OverduePeers is OverdueTargets for balancers, each of which may stay unheard for at
// least so long.
func (v *View) OverduePeers(now time.Time, own flow.Tag, least time.Duration, all bool) []flow.IPv4 {
	var out []flow.IPv4
	for ip, p := range v.peers {
		if p.Zone != own && (all || p.relayed) && p.ask(now, p.HeardAt, max(least, patience(p.Period))) {
			out = append(out, ip)
		}
	}
	slices.Sort(out)
	return out
}
