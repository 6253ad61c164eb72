package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// maxDatagram is the largest payload of a datagram between nodes.
const maxDatagram = 1200

func TestBatchesFitADatagram(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent, got []RelayedMessage
		for i := range rapid.IntRange(0, 200).Draw(t, "messages") {
			a := announcement(uint64(i+1), 1, alpha, Ready)
			message := a.Append(nil)
			if rapid.Bool().Draw(t, "beacon") {
				message = (&Beacon{MessageID: MessageID{uint64(i + 1), 2}}).Append(nil)
			}
			sent = append(sent, RelayedMessage{From: flow.IPv4(i), Message: message})
		}
		AppendBatches(nil, sent, func(b []byte) {
			require.LessOrEqual(t, len(b), maxDatagram)
			messages, err := DecodeBatch(b)
			require.NoError(t, err)
			for _, m := range messages {
				got = append(got, RelayedMessage{m.From, append([]byte(nil), m.Message...)})
			}
			_, err = DecodeBatch(b[:len(b)-1])
			require.ErrorIs(t, err, ErrMalformed)
		})
		require.Equal(t, sent, got)
	})
}

// TestOnlyAnnouncementsAndBeaconsAreRelayed guards against relaying of other messages, and of
// relay requests within relay requests.
func TestOnlyAnnouncementsAndBeaconsAreRelayed(t *testing.T) {
	a, b := announcement(7, 8, alpha, Ready), Beacon{MessageID: MessageID{1, 2}}
	for name, c := range map[string]struct {
		message []byte
		kind    envelope.Kind
		id      MessageID
	}{
		"an announcement":        {a.Append(nil), envelope.Announce, a.MessageID},
		"a beacon":               {b.Append(nil), envelope.Beacon, b.MessageID},
		"nothing":                {nil, 0, MessageID{}},
		"a node list":            {envelope.AppendPrefix(nil, envelope.Peers), 0, MessageID{}},
		"a nested relay request": {AppendRelay(nil, a.Append(nil)), 0, MessageID{}},
	} {
		kind, message, err := DecodeRelay(AppendRelay(nil, c.message))
		relayed := RelayedMessage{ip1, c.message}
		_, relayedErr := relayed.Kind()
		id, idErr := DecodeMessageID(c.message)
		if c.kind == 0 {
			require.ErrorIs(t, err, ErrMalformed, name)
			require.ErrorIs(t, relayedErr, ErrMalformed, name)
			require.ErrorIs(t, idErr, ErrMalformed, name)
			continue
		}
		require.NoError(t, err, name)
		require.NoError(t, relayedErr, name)
		require.NoError(t, idErr, name)
		require.Equal(t, c.kind, kind, name)
		require.Equal(t, c.message, message, name)
		require.Equal(t, c.id, id, name)
	}
	_, _, err := DecodeRelay(a.Append(nil))
	require.ErrorIs(t, err, ErrMalformed, "without a relay request")
	_, err = DecodeMessageID(a.Append(nil)[:envelope.PrefixLen+messageIDLen-1])
	require.ErrorIs(t, err, ErrMalformed, "truncated")
}

// TestCurrentAndFormerProcessesAreDistinguished: relayed messages of the current process are
// applied, those of a former one ignored, and an unknown process is probed first.
func TestCurrentAndFormerProcessesAreDistinguished(t *testing.T) {
	v := NewView()
	require.Equal(t, ProcessUnknown, v.TargetProcess(ip1, 1))
	require.Equal(t, ProcessUnknown, v.PeerProcess(ip2, 1))
	for incarnation := uint64(1); incarnation <= 2; incarnation++ {
		v.ApplyAnnouncement(start, ip1, announcement(incarnation, 1, alpha, Ready))
		v.ApplyBeacon(start, ip2, Beacon{MessageID: MessageID{incarnation, 1}})
	}
	for incarnation, want := range map[uint64]ProcessRelation{1: ProcessFormer, 2: ProcessCurrent, 3: ProcessUnknown} {
		require.Equal(t, want, v.TargetProcess(ip1, incarnation), incarnation)
		require.Equal(t, want, v.PeerProcess(ip2, incarnation), incarnation)
	}
}

// TestRelayedMessagesDoNotEndATarget: a relayed message may be late and the target may have
// started again since, so the end of a target or the removal of its registry entry is only
// accepted from the agent itself.
func TestRelayedMessagesDoNotEndATarget(t *testing.T) {
	for name, c := range map[string]struct {
		before, relayed  State
		known, announced Registration
		want             State
		ask              bool
	}{
		"unchanged":         {Ready, Ready, RegistrationPresent, RegistrationPresent, Ready, false},
		"starts draining":   {Ready, Draining, RegistrationPresent, RegistrationPresent, Draining, false},
		"ended":             {Ready, Gone, RegistrationPresent, RegistrationPresent, Draining, true},
		"still ended":       {Gone, Gone, RegistrationRemoved, RegistrationRemoved, Gone, false},
		"started again":     {Gone, Ready, RegistrationPresent, RegistrationPresent, Ready, false},
		"entry removed":     {Gone, Gone, RegistrationPresent, RegistrationRemoved, Gone, true},
		"entry left behind": {Draining, Gone, RegistrationPresent, RegistrationAbandoned, Draining, true},
		"registered again":  {Gone, Ready, RegistrationRemoved, RegistrationPresent, Ready, true},
	} {
		target := Target{Announcement: announcement(1, 1, alpha, c.before)}
		target.Registration = c.known
		relayed := announcement(1, 2, alpha, c.relayed)
		relayed.Registration = c.announced
		got, ask := target.FilterRelayed(relayed)
		require.Equal(t, c.want, got.State, name)
		require.Equal(t, c.known, got.Registration, name)
		require.Equal(t, c.ask, ask, name)
	}
}

// TestOverdueNodesAreProbed checks that a node whose messages arrive through relays is probed
// maxProbes times before it counts as overdue, and that other nodes are not probed.
func TestOverdueNodesAreProbed(t *testing.T) {
	const period, local = 2 * time.Second, flow.Tag(1)
	for name, c := range map[string]struct {
		zone         flow.Tag
		relayed, all bool
		want         int
	}{
		"relayed node":                      {2, true, false, maxProbes},
		"node of a relayed zone":            {2, false, true, maxProbes},
		"node of another zone, not relayed": {2, false, false, 0},
		"node of the local zone":            {local, true, true, 0},
	} {
		v := NewView()
		a := announcement(1, 1, alpha, Ready)
		a.Zone, a.Period = c.zone, period
		v.ApplyAnnouncement(start, ip1, a)
		v.ApplyBeacon(start, ip2, Beacon{MessageID: MessageID{1, 1}, Zone: c.zone, Period: period})
		if c.relayed {
			v.MarkRelayed(ip1)
			v.MarkRelayed(ip2)
		}
		targets, peers := 0, 0
		for now := start; now.Sub(start) <= 10*time.Second; now = now.Add(100 * time.Millisecond) {
			probed := v.TargetsToProbe(now, local, c.all)
			require.False(t, len(probed) > 0 && now.Sub(start) <= 3*time.Second, "%s: too early", name)
			target, _ := v.Target(ip1)
			require.False(t, len(probed) > 0 && target.Overdue(now), "%s: too late", name)
			targets += len(probed)
			peers += len(v.PeersToProbe(now, local, 0, c.all))
		}
		require.Equal(t, c.want, targets, name)
		require.Equal(t, c.want, peers, name)
		v.ApplyAnnouncement(start.Add(20*time.Second), ip1, announcement(1, 2, alpha, Ready))
		require.Empty(t, v.TargetsToProbe(start.Add(20*time.Second), local, c.all), "%s: seen again", name)
	}
}

// TestCrossZoneBalancersAreGroupedByZone checks that balancers of the local zone are left out,
// and that recent balancers exclude those that are overdue or leaving.
func TestCrossZoneBalancersAreGroupedByZone(t *testing.T) {
	const local, other = flow.Tag(1), flow.Tag(2)
	v := NewView()
	receive := func(ip flow.IPv4, zone flow.Tag, at time.Duration, leaving bool) {
		v.ApplyBeacon(start.Add(at), ip, Beacon{MessageID: MessageID{uint64(ip), 1}, Zone: zone, Leaving: leaving})
	}
	receive(1, local, 5*time.Second, false)
	receive(2, other, 5*time.Second, false)
	receive(3, other, 0, false)
	receive(4, other, 5*time.Second, true)
	known, recent := v.CrossZoneBalancers(start.Add(5*time.Second), local, 4*time.Second)
	require.Equal(t, map[flow.Tag][]flow.IPv4{other: {2, 3, 4}}, known)
	require.Equal(t, map[flow.Tag][]flow.IPv4{other: {2}}, recent)
}
