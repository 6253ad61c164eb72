package fleet

import (
	"time"

	"github.com/poppywall/poppywall/flow"
)

// Thresholds for the detection of silent zones.
const (
	// missedMessages is how many announcements and beacons of a zone's nodes must be overdue
	// since the zone's last message for it to count as silent. About one message in a
	// hundred is lost by chance; four in a row are not.
	missedMessages = 4
	// messageSlack is how late a message may arrive: a node's timer ticks every 50 to 100 ms,
	// and the node may be busy.
	messageSlack = 200 * time.Millisecond
)

// ZoneSilence reports that a zone has become silent, or no longer is.
type ZoneSilence struct {
	Zone   flow.Tag
	Silent bool
	// LastSeen is when a node of the zone was last seen, Missed how many messages of its nodes
	// have become overdue since.
	LastSeen time.Time
	Missed   int
}

// zoneStates holds when each zone was last seen and whether it is silent.
type zoneStates struct {
	lastSeen map[flow.Tag]time.Time
	silent   map[flow.Tag]bool
}

func newZoneStates() zoneStates {
	return zoneStates{lastSeen: map[flow.Tag]time.Time{}, silent: map[flow.Tag]bool{}}
}

// IsZoneSilent reports whether a zone is silent, most likely because it lost power or is
// partitioned. A single node is overdue only after 2.5 of its periods, whereas some message
// of a zone's many nodes is always due, so the loss of a zone shows within a fraction of one
// period. Packets sent to a silent zone are most likely lost, but its silence does not prove
// that a flow there has ended.
func (v *View) IsZoneSilent(zone flow.Tag) bool { return v.zones.silent[zone] }

// DetectSilentZones detects which zones are silent and returns the changes. It scans the nodes only
// while some zone has not been seen for messageSlack.
func (v *View) DetectSilentZones(now time.Time) []ZoneSilence {
	missed := v.missedByZone(now)
	var changed []ZoneSilence
	for _, zone := range sortedKeys(v.zones.lastSeen) {
		silent := missed[zone] >= missedMessages
		if silent == v.zones.silent[zone] {
			continue
		}
		v.zones.silent[zone] = silent
		changed = append(changed, ZoneSilence{Zone: zone, Silent: silent, LastSeen: v.zones.lastSeen[zone], Missed: missed[zone]})
	}
	return changed
}

// missedByZone counts, for each zone, the messages that became due after the zone's last
// message and are overdue.
func (v *View) missedByZone(now time.Time) map[flow.Tag]int {
	out := map[flow.Tag]int{}
	if !v.anyZoneLate(now) {
		return out
	}
	count := func(zone flow.Tag, lastSeen time.Time, period time.Duration) {
		due := lastSeen.Add(max(period, SameZonePeriod) + messageSlack)
		if due.Before(now) && due.After(v.zones.lastSeen[zone]) {
			out[zone]++
		}
	}
	for _, t := range v.targets {
		count(t.Zone, t.LastSeen, t.Period)
	}
	for _, p := range v.peers {
		count(p.Zone, p.LastSeen, p.Period)
	}
	return out
}

// anyZoneLate reports whether some zone has not been seen for messageSlack.
func (v *View) anyZoneLate(now time.Time) bool {
	for _, at := range v.zones.lastSeen {
		if now.Sub(at) > messageSlack {
			return true
		}
	}
	return false
}

// recordZone records that a message of one of a zone's nodes was received.
func (v *View) recordZone(now time.Time, zone flow.Tag) { v.zones.lastSeen[zone] = now }
