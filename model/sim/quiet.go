package sim

import (
	"time"

	agentfront "github.com/poppywall/poppywall/agent/packetfront"
	"github.com/poppywall/poppywall/backlog"
	balancerfront "github.com/poppywall/poppywall/balancer/packetfront"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// QuietBalancer ignores what a balancer decides.
type QuietBalancer struct{}

var _ balancerfront.Events = QuietBalancer{}

// Forwarded implements balancerfront.Events, as do the methods below.
func (QuietBalancer) Forwarded()                                               {}
func (QuietBalancer) Opened(balancerfront.Decision)                            {}
func (QuietBalancer) Refused(flow.Key, string, string)                         {}
func (QuietBalancer) OverloadChanged(balancerfront.Overload)                   {}
func (QuietBalancer) Searching(flow.Key, int, int)                             {}
func (QuietBalancer) OwnerFound(flow.Key, flow.IPv4, int)                      {}
func (QuietBalancer) Lost(flow.Key, int, balancerfront.Uncertainty, flow.IPv4) {}
func (QuietBalancer) Buffered(flow.Key, balancerfront.BufferReason)            {}
func (QuietBalancer) Dropped(balancerfront.DropReason)                         {}
func (QuietBalancer) TargetChanged(*fleet.Target, fleet.Change)                {}
func (QuietBalancer) TargetExpired(flow.IPv4)                                  {}
func (QuietBalancer) PeerChanged(flow.IPv4, string)                            {}
func (QuietBalancer) ZoneSilenceChanged(fleet.ZoneSilence)                     {}
func (QuietBalancer) ZoneRelayed(flow.Tag, int, bool)                          {}
func (QuietBalancer) Relayed(int)                                              {}
func (QuietBalancer) Probed(flow.IPv4, time.Duration)                          {}
func (QuietBalancer) RotationChanged(bool, float64, float64, int)              {}
func (QuietBalancer) EvacuationsChanged(_, _ flow.Evacuations, _ string)       {}

// QuietAgent ignores what an agent decides.
type QuietAgent struct{}

var _ agentfront.Events = QuietAgent{}

// Delivered implements agentfront.Events, as do the methods below.
func (QuietAgent) Delivered()                                          {}
func (QuietAgent) Request(flow.Key, []byte, int, int)                  {}
func (QuietAgent) Queued(flow.Key, []byte, int, time.Duration)         {}
func (QuietAgent) Postponed(flow.Key, time.Duration)                   {}
func (QuietAgent) AbandonedInQueue(flow.Key, time.Duration)            {}
func (QuietAgent) Withheld(flow.Key, []byte, agentfront.AbandonReason) {}
func (QuietAgent) AbandonedAtTarget(flow.Key, time.Duration)           {}
func (QuietAgent) PassedOn(flow.Key, string, int)                      {}
func (QuietAgent) Bounced(flow.Key, bool)                              {}
func (QuietAgent) Reset(flow.Key, string)                              {}
func (QuietAgent) Dropped(agentfront.DropReason)                       {}
func (QuietAgent) TargetReport(string, fleet.Heartbeat)                {}
func (QuietAgent) RequestFailed()                                      {}
func (QuietAgent) Ejected(bool, int, int)                              {}
func (QuietAgent) OnProbation(int, time.Duration)                      {}
func (QuietAgent) Overloaded(bool, backlog.Load, int, time.Duration)   {}
func (QuietAgent) PeerChanged(flow.IPv4, string)                       {}
func (QuietAgent) ZoneRelayed(flow.Tag, int, bool)                     {}
func (QuietAgent) BalancerProbed(flow.IPv4, time.Duration)             {}
func (QuietAgent) EvacuationsChanged(_, _ flow.Evacuations, _ string)  {}

// agentEvents tells the world what it wants to hear of an agent.
type agentEvents struct {
	QuietAgent
	w *World
}

// PassedOn implements agentfront.Events.
func (e agentEvents) PassedOn(key flow.Key, _ string, _ int) { e.w.PassedOn(key) }
