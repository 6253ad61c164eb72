package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/backlog"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// DropReason is why a packet was dropped.
type DropReason string

// The reasons for a drop.
const (
	DropMalformed DropReason = "malformed"
	// DropBounced: the target bounced a packet whose delivery is no longer recorded.
	DropBounced DropReason = "bounced"
)

// DropReasons lists all reasons for a drop.
var DropReasons = []DropReason{DropMalformed, DropBounced}

// AbandonReason is why no client waits for a request any more.
type AbandonReason string

// The reasons for abandonment.
const (
	// ClientLeft: the client has ended the flow.
	ClientLeft AbandonReason = "client has left"
	// DeadlinePassed: the request was not delivered to the target within its route's deadline.
	DeadlinePassed AbandonReason = "deadline has passed"
)

// AbandonReasons lists all reasons for abandonment.
var AbandonReasons = []AbandonReason{ClientLeft, DeadlinePassed}

// Events is notified of the core's decisions, in order to log and count them.
type Events interface {
	// Delivered is a packet sent to the target.
	Delivered()
	// Request is a request whose first packet was delivered to the target. busy is the number
	// of requests that the target has then, this one included; slots is its concurrency.
	Request(key flow.Key, requestID []byte, busy, slots int)
	// Queued is a request that waits for a free slot of the target. queued is the number of
	// requests that were waiting before it, wait its expected wait.
	Queued(key flow.Key, requestID []byte, queued int, wait time.Duration)
	// Postponed is a new flow left to its client's next retransmission of the SYN; wait is
	// its expected wait at this target, which has the shortest wait of its candidates.
	Postponed(key flow.Key, wait time.Duration)
	// AbandonedInQueue is a queued request that was abandoned after it had waited for the given time.
	AbandonedInQueue(key flow.Key, waited time.Duration)
	// Withheld is a request, or a repetition of one, that arrived after it was abandoned and
	// was not delivered to the target. Each request is reported once.
	Withheld(key flow.Key, requestID []byte, reason AbandonReason)
	// AbandonedAtTarget is a request whose client left after the target had had it for the given time.
	AbandonedAtTarget(key flow.Key, after time.Duration)
	// PassedOn is a new flow that this target does not take; hops is how often the flow was
	// passed on before.
	PassedOn(key flow.Key, reason string, hops int)
	// Bounced is a packet that the target returned because it does not hold the flow, or
	// refuses it; opening states that it was a SYN.
	Bounced(key flow.Key, opening bool)
	// Reset is a flow reset at its client.
	Reset(key flow.Key, reason string)
	// Dropped is a packet that was dropped.
	Dropped(reason DropReason)
	// TargetReport is a change of, or a report from, the target; what describes it.
	TargetReport(what string, b fleet.Heartbeat)
	// RequestFailed is a request that the target answered with a failure or a reset.
	RequestFailed()
	// Ejected is the start of an ejection, during which the target gets no new flows because
	// its requests fail, or its end. trials and failures are the outcomes that led to it.
	Ejected(ejected bool, trials, failures int)
	// OnProbation is a target that is up again after a number of consecutive crashes and gets
	// no new flows for the time of its probation.
	OnProbation(crashes int, probation time.Duration)
	// Overloaded is the start or the end of an overload of the target. queued is the number of
	// requests that wait for a slot, wait the expected wait of a new one.
	Overloaded(active bool, load backlog.Load, queued int, wait time.Duration)
	// PeerChanged is a balancer that became known or was forgotten.
	PeerChanged(ip flow.IPv4, what string)
	// ZoneRelayed is a change between relayed and direct announcements to another zone;
	// balancers is the number of its balancers from which a message was received recently.
	ZoneRelayed(zone flow.Tag, balancers int, relayed bool)
	// BalancerProbed is an overdue balancer of another zone that was probed because its relayed
	// messages have stopped arriving; unseen is the time since its last message.
	BalancerProbed(ip flow.IPv4, unseen time.Duration)
	// EvacuationsChanged is a change of the evacuated zones; from is the address of the
	// balancer that sent it.
	EvacuationsChanged(now, former flow.Evacuations, from string)
}
