package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
)

// identity is what an agent knows of whose process listens at its target's address: the address of a
// target that is gone is used again, also by targets of other services.
//
//   - At the agent's start its settings name the service. Later a heartbeat does.
//   - A proof is valid for validity, which is shorter than the time for which an address stays unused.
//     While it is valid, an accepted connection renews it: the process that listens is the one that
//     was proven, or one of the same service.
//   - Once the proof has expired, a connection was refused, or another service has reported, any
//     process may listen here. It gets no new flow until a heartbeat proves it again.
//   - A heartbeat of the incarnation that is already known may have been delayed until after the end
//     of its sender. It proves the identity again only together with a later one.
type identity struct {
	// provenAt is the latest time at which the process was certainly of the agent's service.
	provenAt time.Time
	validity time.Duration
	// unproven is set while the process may be of another service.
	unproven bool
	// confirmFrom is when the known incarnation reported first since the identity is unproven; zero
	// if it has not.
	confirmFrom time.Time
}

const (
	// defaultAddressReuse is the assumed time for which an address stays unused.
	defaultAddressReuse = 2 * time.Second
	// identityMargin is how much earlier than the address may be used again a proof expires: the
	// time between a decision and the arrival of its packet at the target, and the age that a
	// message may have when it is handled by an agent that does not stand still.
	identityMargin = 200 * time.Millisecond
	// renewalShare is the share of the validity of a proof after which it is renewed by a probe. With
	// the usual heartbeat period of 1.2 s and a validity of 1.8 s a heartbeat comes before.
	renewalShare = 0.85
	// confirmationShare is the minimum time, in heartbeat periods, between two heartbeats that
	// prove the identity together. Those that were held up arrive at the same time.
	confirmationShare = 0.5
)

// newIdentity returns the identity of a process that starts: its settings are the proof.
func newIdentity(now time.Time, addressReuse time.Duration) identity {
	if addressReuse == 0 {
		addressReuse = defaultAddressReuse
	}
	return identity{provenAt: now, validity: max(addressReuse-identityMargin, 0)}
}

// prove records that the process was of the agent's service at the given time.
func (i *identity) prove(at time.Time) {
	if i.unproven || at.After(i.provenAt) {
		i.provenAt = at
	}
	i.unproven, i.confirmFrom = false, time.Time{}
}

// doubt records that the process may be of another service from now on.
func (i *identity) doubt() { i.unproven, i.confirmFrom = true, time.Time{} }

// expired reports whether the proof is too old.
func (i *identity) expired(now time.Time) bool { return now.Sub(i.provenAt) >= i.validity }

// renew records a sign of life that the process gave between two points in time.
func (i *identity) renew(from, to time.Time) {
	if !i.unproven && !i.expired(to) {
		i.prove(from)
	}
}

// renewalDue reports whether a probe has to renew the proof.
func (i *identity) renewalDue(now time.Time) bool {
	return !i.unproven && now.Sub(i.provenAt) >= time.Duration(renewalShare*float64(i.validity))
}

// confirm records a heartbeat of the known incarnation while the identity is unproven, and reports
// whether it proves the identity.
func (i *identity) confirm(now time.Time, period time.Duration) bool {
	if i.confirmFrom.IsZero() {
		i.confirmFrom = now
		return false
	}
	return now.Sub(i.confirmFrom) >= time.Duration(confirmationShare*float64(period))
}

// identify records a heartbeat of the target that was sent at the given time or later.
func (c *Core) identify(now, sent time.Time, b fleet.Heartbeat, source heartbeatSource) {
	i := &c.target.identity
	switch {
	case source == currentHeartbeat && i.unproven && !i.confirm(now, c.opts.HeartbeatPeriod):
		c.events.TargetReport("report may be a late one, another one is needed", b)
	case i.unproven:
		i.prove(sent)
		c.events.TargetReport("target has reported its service", b)
	default:
		i.prove(sent)
	}
}

// doubtIdentity records that any process may listen at the target's address from now on.
func (c *Core) doubtIdentity(reason string) {
	if !c.target.identity.unproven {
		c.events.IdentityDoubted(reason, c.target.heartbeat)
	}
	c.target.identity.doubt()
}

// checkIdentity ends a proof that has expired.
func (c *Core) checkIdentity(now time.Time) {
	if c.target.identity.unproven || !c.target.identity.expired(now) {
		return
	}
	c.doubtIdentity("no sign of life")
	c.announceChange(now)
}
