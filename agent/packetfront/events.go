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
	// DropVersion is a datagram of a node that uses another version of the messages.
	DropVersion DropReason = "other version"
	// DropBounced: the target bounced a packet whose delivery is no longer recorded.
	DropBounced DropReason = "bounced"
)

// DropReasons lists all reasons for a drop.
var DropReasons = []DropReason{DropMalformed, DropVersion, DropBounced}

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

// TargetEvidence is what an agent knows of whether its target runs, for logs. Times are
// negative if the event has not happened.
type TargetEvidence struct {
	State fleet.State
	// SinceReport is the time since the target's last heartbeat.
	SinceReport time.Duration
	// SinceSent is the time since the target's last packet.
	SinceSent time.Duration
	// LastProbe is the outcome of the last target probe, SinceProbe its age.
	LastProbe  Probe
	SinceProbe time.Duration
	// SinceRefused is the time since the first refused target probe after the target was up.
	SinceRefused time.Duration
	// SinceDeregistered is the time since the target's deregistration.
	SinceDeregistered time.Duration
}

// Events receives the decisions of a core.
type Events interface {
	// Delivered reports a packet that was sent to the target.
	Delivered()
	// RequestDelivered reports a request whose first packet was delivered to the target. running is
	// the number of requests at the target, this one included; slots is its concurrency.
	RequestDelivered(key flow.Key, requestID []byte, running, slots int, e TargetEvidence)
	// Queued reports a request that waits for a free slot of the target. queued is the number of
	// requests that were waiting before it, wait its expected wait.
	Queued(key flow.Key, requestID []byte, queued int, wait time.Duration)
	// Postponed reports a new flow that is left to its client's next retransmission of the SYN;
	// wait is its expected wait at this target, the shortest of its candidates.
	Postponed(key flow.Key, wait time.Duration)
	// AbandonedInQueue reports a queued request that was abandoned after waiting for the given
	// time.
	AbandonedInQueue(key flow.Key, waited time.Duration)
	// Withheld reports a request, or a retransmission of one, that was not delivered to the target
	// because it arrived after it was abandoned. Each request is reported once.
	Withheld(key flow.Key, requestID []byte, reason AbandonReason)
	// AbandonedAtTarget reports a request that was abandoned the given time after its delivery to
	// the target.
	AbandonedAtTarget(key flow.Key, after time.Duration)
	// PassedOn reports a new flow that this target does not take; hops is how often the flow was
	// passed on before.
	PassedOn(key flow.Key, reason string, hops int)
	// Bounced reports a packet that the target returned because it does not hold the flow, or
	// refuses it; opening is set if the packet is a SYN.
	Bounced(key flow.Key, opening bool)
	// Reset reports a flow that was reset at its client.
	Reset(key flow.Key, reason string, e TargetEvidence)
	// FlowDenied reports a packet of an open flow that was passed on or returned without being
	// delivered. record is the stage of the record between the same ports that the packet does not
	// match, or "none". certain is set if the target certainly does not hold the flow; hops is how
	// often the packet was passed on before.
	FlowDenied(key flow.Key, record string, certain bool, hops int, e TargetEvidence)
	// FlowExpired reports a record that was removed after the given idle time in a stage in which
	// the target may hold the flow.
	FlowExpired(key flow.Key, stage string, idle time.Duration)
	// FlowsRecorded reports the number of records, about once per second.
	FlowsRecorded(records int)
	// SentAfterRefusal reports a packet of the target that followed a refused target probe; bounced
	// is set if the target returned it because it does not hold the flow.
	SentAfterRefusal(key flow.Key, bounced bool, e TargetEvidence)
	// Dropped reports a packet that was dropped.
	Dropped(reason DropReason)
	// TargetReport reports a change of the target's state, or a message from the target that was
	// ignored; what is the text of the log line.
	TargetReport(what string, b fleet.Heartbeat)
	// IdentityDoubted reports that the process at the target's address may be of another service from
	// now on, and why; last is the last heartbeat of the target.
	IdentityDoubted(reason string, last fleet.Heartbeat)
	// RequestFailed reports a request that the target answered with a failure or a reset.
	RequestFailed()
	// Ejected reports the start or the end of an ejection, during which the target gets no new
	// flows because its requests fail. trials and failures are the outcomes that led to it.
	Ejected(ejected bool, trials, failures int)
	// OnProbation reports a target that is up again after the given number of consecutive crashes
	// and gets no new flows during its probation.
	OnProbation(crashes int, probation time.Duration)
	// OverloadChanged reports the start or the end of an overload of the target. queued is the number
	// of requests that wait for a slot, wait the expected wait of a new one.
	OverloadChanged(active bool, load backlog.Load, queued int, wait time.Duration)
	// OtherVersion reports a dropped datagram of a node that uses another version of the messages.
	OtherVersion(from flow.IPv4, version uint8)
	// PeerChanged reports that a balancer has joined or was removed from the view.
	PeerChanged(ip flow.IPv4, change string)
	// ZoneRelayed reports whether announcements to another zone go through relays from now on, or
	// directly, and how many of its balancers were seen recently.
	ZoneRelayed(zone flow.Tag, balancers int, relayed bool)
	// NodeProbed reports that a balancer of another zone is probed because its relayed messages
	// have stopped arriving; sinceLastSeen is the time since it was last seen.
	NodeProbed(ip flow.IPv4, sinceLastSeen time.Duration)
	// EvacuationsChanged reports that the set of evacuated zones has changed; from is the balancer
	// that the change came from.
	EvacuationsChanged(current, previous flow.Evacuations, from string)
}
