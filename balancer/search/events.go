package search

import "github.com/poppywall/poppywall/flow"

// Drop is why a packet went nowhere.
type Drop string

// The reasons.
const (
	DropNoRoute     Drop = "no-route"
	DropNoCandidate Drop = "no-candidate"
	// DropExpired is a kept packet whose way was not known in time.
	DropExpired Drop = "kept too long"
	// DropLateAnswer is a packet that came back after its search had been repeated
	// or had ended.
	DropLateAnswer Drop = "late answer"
)

// Keep is why a packet is kept to be tried again.
type Keep string

// The reasons.
const (
	// KeepNoConfig: the balancer knows no configuration yet.
	KeepNoConfig Keep = "no configuration"
	// KeepUnsettled: it has just started and knows no target that may serve it.
	KeepUnsettled Keep = "no target yet"
)

// Keeps lists all reasons.
var Keeps = []Keep{KeepNoConfig, KeepUnsettled}

// Events hears of what a finder decides.
type Events interface {
	// Searching tells that a flow's packet is sent along so many targets.
	Searching(key flow.Key, candidates, round int)
	// Lost is a packet whose flow no candidate holds. doubt says why the flow is
	// not reset all the same, empty when it is; missing is the target that was not
	// asked, if that is the doubt.
	Lost(key flow.Key, hops int, doubt Doubt, missing flow.IPv4)
	Dropped(reason Drop)
	// Kept is a packet that came before the balancer knew its way.
	Kept(key flow.Key, reason Keep)
}
