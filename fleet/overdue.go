package fleet

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/flow"
)

// Probing of nodes whose messages arrive through relays: a relay may have failed while the
// node itself is alive.
const (
	// probePeriods is how many of its periods may pass without a message of a node before it
	// is probed.
	probePeriods = 1.5
	// probeInterval is the time between two probes and maxProbes their number: all are sent
	// before the node counts as overdue.
	probeInterval = 400 * time.Millisecond
	maxProbes     = 4
)

// probeState is the state of probing one node.
type probeState struct {
	// relayed is set once a message of the node arrived through a relay.
	relayed bool
	// probes counts the probes since the node's last message; nextProbe is the earliest time
	// of the next one.
	probes    int
	nextProbe time.Time
}

// resetProbes records that a message of the node was received.
func (p *probeState) resetProbes() { p.probes, p.nextProbe = 0, time.Time{} }

// beginProbe reports whether to probe the node now, and counts the probe if so.
func (p *probeState) beginProbe(now, lastSeen time.Time, delay time.Duration) bool {
	if p.probes >= maxProbes || now.Before(p.nextProbe) || now.Sub(lastSeen) <= delay {
		return false
	}
	p.probes++
	p.nextProbe = now.Add(probeInterval)
	return true
}

// probeDelay returns the time without a message after which a node with the given period is
// probed.
func probeDelay(period time.Duration) time.Duration {
	return time.Duration(probePeriods * float64(max(period, SameZonePeriod)))
}

// TargetsToProbe returns the targets of other zones to probe now, because their relayed messages
// have stopped arriving, sorted by address, and counts the probes.
// allRelayed states that nodes of other zones use relays in the local zone, so that the
// messages of any of them may arrive relayed.
func (v *View) TargetsToProbe(now time.Time, local flow.Tag, allRelayed bool) []flow.IPv4 {
	var out []flow.IPv4
	for ip, t := range v.targets {
		if t.Zone != local && (allRelayed || t.relayed) && t.beginProbe(now, t.LastSeen, probeDelay(t.Period)) {
			out = append(out, ip)
		}
	}
	slices.Sort(out)
	return out
}

// PeersToProbe is TargetsToProbe for the balancers of other zones. A balancer is not probed until
// minDelay has passed since its last message.
func (v *View) PeersToProbe(now time.Time, local flow.Tag, minDelay time.Duration, allRelayed bool) []flow.IPv4 {
	var out []flow.IPv4
	for ip, p := range v.peers {
		if p.Zone != local && (allRelayed || p.relayed) && p.beginProbe(now, p.LastSeen, max(minDelay, probeDelay(p.Period))) {
			out = append(out, ip)
		}
	}
	slices.Sort(out)
	return out
}
