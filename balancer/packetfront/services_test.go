package packetfront

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// TestFlowsOfServicesOfEqualShortHashGoToTheirOwnTargets guards against new flows that are offered to the
// targets of another service because a short hash of the two names is the same.
func TestFlowsOfServicesOfEqualShortHashGoToTheirOwnTargets(t *testing.T) {
	f := newFixture()
	targets := map[string]flow.IPv4{"gojo24a": targetC, "huzu17b": targetC + 1}
	routes := map[flow.Front]*flow.Route{}
	fronts := map[string]flow.Front{}
	for name, ip := range targets {
		id := flow.ServiceIDOf(name)
		fronts[name] = flow.Front{IP: front.IP, Port: uint16(ip)}
		routes[fronts[name]] = &flow.Route{Name: name, Services: []flow.WeightedService{{Name: name, ID: id, Weight: 1}}}
		f.seq++
		a := fleet.Announcement{MessageID: fleet.MessageID{ProcessIncarnation: uint64(ip), Seq: f.seq}, Service: id, State: fleet.Ready, Slots: 4}
		f.HandleNode(f.now, ip, a.Append(nil))
	}
	f.SetConfig(f.now, &flow.Config{Version: 6, Routes: routes})
	for name, ip := range targets {
		for client := range uint16(20) {
			f.port.Nodes = nil
			f.receiveFromClient(packetOf(flow.Key{ClientIP: 0x64400001, ClientPort: 2000 + client, FrontIP: fronts[name].IP, FrontPort: fronts[name].Port}, true, 0))
			sent := f.port.Delivered()
			require.Len(t, sent, 1, name)
			require.Equal(t, ip, sent[0].To, name)
			require.Equal(t, flow.ServiceIDOf(name), sent[0].Env.Service, name)
			require.Zero(t, sent[0].Env.Count, "%s: it has no other target", name)
		}
	}
}

// TestDatagramOfAnotherVersionIsReported guards against a node of another version whose messages are
// misread or dropped without a trace.
func TestDatagramOfAnotherVersionIsReported(t *testing.T) {
	f, events := newFixture(), &versionEvents{}
	f.events = events
	a := fleet.Announcement{MessageID: fleet.MessageID{ProcessIncarnation: 1, Seq: 1}, Service: alpha, State: fleet.Ready, Slots: 4}
	other := a.Append(nil)
	other[2]--
	f.HandleNode(f.now, targetC, other)
	require.Equal(t, []flow.IPv4{targetC}, events.from)
	require.False(t, f.View().HasTarget(targetC))
}

// versionEvents records the nodes that use another version.
type versionEvents struct {
	eventRecorder
	from []flow.IPv4
}

func (e *versionEvents) OtherVersion(from flow.IPv4, _ uint8) { e.from = append(e.from, from) }
