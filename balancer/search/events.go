package search

import "github.com/poppywall/poppywall/flow"

// Drop is why a packet was dropped.
type Drop string

// Reasons for dropping a packet.
const (
	DropNoRoute     Drop = "no-route"
	DropNoCandidate Drop = "no-candidate"
	// DropExpired is a buffered packet whose target was not found in time.
	DropExpired Drop = "kept too long"
	// DropLateAnswer is a returned packet whose search had already been repeated or had ended.
	DropLateAnswer Drop = "late answer"
)

// Keep is why a packet is buffered and tried again.
type Keep string

// Reasons for buffering a packet.
const (
	// KeepNoConfig: the balancer has no configuration yet.
	KeepNoConfig Keep = "no configuration"
	// KeepUnsettled: the balancer has just started and knows no target that may serve the
	// packet.
	KeepUnsettled Keep = "no target yet"
)

// Keeps lists all reasons for buffering.
var Keeps = []Keep{KeepNoConfig, KeepUnsettled}

// Events receives the decisions of a finder.
type Events interface {
	// Searching reports that a flow's packet is sent to the given number of candidates.
	Searching(key flow.Key, candidates, round int)
	// Lost reports a packet whose flow no candidate holds. uncertainty is why the flow is not
	// reset, empty when it is; missing is the target behind that reason, zero if none is
	// known.
	Lost(key flow.Key, hops int, uncertainty Doubt, missing flow.IPv4)
	Dropped(reason Drop)
	// Kept reports a packet that is buffered until it can be routed.
	Kept(key flow.Key, reason Keep)
}
