package search

import "github.com/poppywall/poppywall/flow"

// DropReason is why a packet was dropped.
type DropReason string

// Reasons for dropping a packet.
const (
	// DropNoRoute is a packet for whose destination the configuration has no route.
	DropNoRoute DropReason = "no-route"
	// DropNoCandidate is a packet of an unknown flow that no known target may hold.
	DropNoCandidate DropReason = "no-candidate"
	// DropExpired is a buffered packet whose target was not found in time.
	DropExpired DropReason = "kept too long"
	// DropLateAnswer is a returned packet whose search had already been repeated or had ended.
	DropLateAnswer DropReason = "late answer"
)

// BufferReason is why a packet is buffered and tried again.
type BufferReason string

// Reasons for buffering a packet.
const (
	// BufferNoConfig: the balancer has no configuration yet.
	BufferNoConfig BufferReason = "no configuration"
	// BufferNoTarget: the balancer has just started and knows no target that may serve the
	// packet.
	BufferNoTarget BufferReason = "no target yet"
)

// BufferReasons lists all reasons for buffering.
var BufferReasons = []BufferReason{BufferNoConfig, BufferNoTarget}

// Events receives the decisions of a finder.
type Events interface {
	// Searching reports that a flow's packet is sent in search probes, each with the targets that
	// it visits. attempt counts the search attempts for the flow, from 1.
	Searching(key flow.Key, probes [][]flow.IPv4, attempt int)
	// ProbeReturned reports a probe that was returned by the last of its targets. certain is unset
	// if one of them may hold the flow all the same; outstanding is the number of the flow's other
	// probes that have not returned.
	ProbeReturned(key flow.Key, from flow.IPv4, hops int, certain bool, outstanding int)
	// Unanswered reports the probes that did not return before the next attempt.
	Unanswered(key flow.Key, probes [][]flow.IPv4, attempt int)
	// RecordReturned reports a packet that the recorded target of its flow returned. certain is
	// unset if the target may hold the flow all the same.
	RecordReturned(key flow.Key, target flow.IPv4, certain bool)
	// Lost reports a packet whose flow no candidate holds. uncertainty is why the flow is not
	// reset, empty if it is; missing is a target that causes the uncertainty, zero if none is
	// known.
	Lost(key flow.Key, hops int, uncertainty Uncertainty, missing flow.IPv4)
	// Dropped reports a packet that was dropped.
	Dropped(reason DropReason)
	// Buffered reports a packet that is buffered until it can be routed.
	Buffered(key flow.Key, reason BufferReason)
}
