package sim

import (
	"time"

	agentfront "github.com/poppywall/poppywall/agent/packetfront"
	"github.com/poppywall/poppywall/backlog"
	balancerfront "github.com/poppywall/poppywall/balancer/packetfront"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// NoopBalancerEvents ignores all events of a balancer's core.
type NoopBalancerEvents struct{}

var _ balancerfront.Events = NoopBalancerEvents{}

// Forwarded implements balancerfront.Events, as do the methods below.
func (NoopBalancerEvents) Forwarded()                                               {}
func (NoopBalancerEvents) Opened(balancerfront.Decision)                            {}
func (NoopBalancerEvents) Refused(flow.Key, string, string)                         {}
func (NoopBalancerEvents) OverloadChanged(balancerfront.Overload)                   {}
func (NoopBalancerEvents) Searching(flow.Key, [][]flow.IPv4, int)                   {}
func (NoopBalancerEvents) ProbeReturned(flow.Key, flow.IPv4, int, bool, int)        {}
func (NoopBalancerEvents) Unanswered(flow.Key, [][]flow.IPv4, int)                  {}
func (NoopBalancerEvents) RecordReturned(flow.Key, flow.IPv4, bool)                 {}
func (NoopBalancerEvents) OwnerFound(flow.Key, flow.IPv4, int)                      {}
func (NoopBalancerEvents) Lost(flow.Key, int, balancerfront.Uncertainty, flow.IPv4) {}
func (NoopBalancerEvents) Buffered(flow.Key, balancerfront.BufferReason)            {}
func (NoopBalancerEvents) OtherVersion(flow.IPv4, uint8)                            {}
func (NoopBalancerEvents) Dropped(balancerfront.DropReason)                         {}
func (NoopBalancerEvents) TargetChanged(*fleet.Target, fleet.Change)                {}
func (NoopBalancerEvents) TargetExpired(flow.IPv4)                                  {}
func (NoopBalancerEvents) PeerChanged(flow.IPv4, string)                            {}
func (NoopBalancerEvents) ZoneSilenceChanged(fleet.ZoneSilence)                     {}
func (NoopBalancerEvents) ZoneRelayed(flow.Tag, int, bool)                          {}
func (NoopBalancerEvents) Relayed(int)                                              {}
func (NoopBalancerEvents) NodeProbed(flow.IPv4, time.Duration)                      {}
func (NoopBalancerEvents) RotationChanged(bool, float64, float64, int)              {}
func (NoopBalancerEvents) EvacuationsChanged(_, _ flow.Evacuations, _ string)       {}

// NoopAgentEvents ignores all events of an agent's core.
type NoopAgentEvents struct{}

var _ agentfront.Events = NoopAgentEvents{}

// Delivered implements agentfront.Events, as do the methods below.
func (NoopAgentEvents) Delivered()                                                             {}
func (NoopAgentEvents) RequestDelivered(flow.Key, []byte, int, int, agentfront.TargetEvidence) {}
func (NoopAgentEvents) Queued(flow.Key, []byte, int, time.Duration)                            {}
func (NoopAgentEvents) Postponed(flow.Key, time.Duration)                                      {}
func (NoopAgentEvents) AbandonedInQueue(flow.Key, time.Duration)                               {}
func (NoopAgentEvents) Withheld(flow.Key, []byte, agentfront.AbandonReason)                    {}
func (NoopAgentEvents) AbandonedAtTarget(flow.Key, time.Duration)                              {}
func (NoopAgentEvents) PassedOn(flow.Key, string, int)                                         {}
func (NoopAgentEvents) Bounced(flow.Key, bool)                                                 {}
func (NoopAgentEvents) Reset(flow.Key, string, agentfront.TargetEvidence)                      {}
func (NoopAgentEvents) FlowDenied(flow.Key, string, bool, int, agentfront.TargetEvidence)      {}
func (NoopAgentEvents) FlowExpired(flow.Key, string, time.Duration)                            {}
func (NoopAgentEvents) FlowsRecorded(int)                                                      {}
func (NoopAgentEvents) SentAfterRefusal(flow.Key, bool, agentfront.TargetEvidence)             {}
func (NoopAgentEvents) OtherVersion(flow.IPv4, uint8)                                          {}
func (NoopAgentEvents) Dropped(agentfront.DropReason)                                          {}
func (NoopAgentEvents) TargetReport(string, fleet.Heartbeat)                                   {}
func (NoopAgentEvents) IdentityDoubted(string, fleet.Heartbeat)                                {}
func (NoopAgentEvents) RequestFailed()                                                         {}
func (NoopAgentEvents) Ejected(bool, int, int)                                                 {}
func (NoopAgentEvents) OnProbation(int, time.Duration)                                         {}
func (NoopAgentEvents) OverloadChanged(bool, backlog.Load, int, time.Duration)                 {}
func (NoopAgentEvents) PeerChanged(flow.IPv4, string)                                          {}
func (NoopAgentEvents) ZoneRelayed(flow.Tag, int, bool)                                        {}
func (NoopAgentEvents) NodeProbed(flow.IPv4, time.Duration)                                    {}
func (NoopAgentEvents) EvacuationsChanged(_, _ flow.Evacuations, _ string)                     {}

// agentEvents calls World.PassedOn for each new flow that an agent does not take; it ignores all
// other events.
type agentEvents struct {
	NoopAgentEvents
	w *World
}

// PassedOn implements agentfront.Events.
func (e agentEvents) PassedOn(key flow.Key, _ string, _ int) { e.w.PassedOn(key) }
