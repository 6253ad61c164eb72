package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/backlog"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// DropReason is why a packet went nowhere.
type DropReason string

// The reasons.
const (
	DropMalformed DropReason = "malformed"
	// DropBounced is a bounced packet of which nothing is known any more.
	DropBounced DropReason = "bounced"
)

// DropReasons lists all reasons.
var DropReasons = []DropReason{DropMalformed, DropBounced}

// Abandoned is why nobody waits for a request any more.
type Abandoned string

// The reasons.
const (
	// ClientLeft is a request whose client has ended the flow.
	ClientLeft Abandoned = "client has left"
	// DeadlinePassed is a request that nobody has got within its route's deadline.
	DeadlinePassed Abandoned = "deadline has passed"
)

// AbandonedReasons lists all reasons.
var AbandonedReasons = []Abandoned{ClientLeft, DeadlinePassed}

// Events hears of what the core decides; the shell logs and counts.
type Events interface {
	Delivered()
	// Request is the first packet of a request, delivered to the target.
	Request(key flow.Key, requestID []byte, busy, slots int)
	// Queued is a request for which the target has no slot at the moment; wait is
	// how long it is expected to.
	Queued(key flow.Key, requestID []byte, held int, wait time.Duration)
	// Postponed is a new flow that waits for its client's next opening packet; wait
	// is what it would have waited at the best target.
	Postponed(key flow.Key, wait time.Duration)
	// Expired is a request that waited until its client had gone.
	Expired(key flow.Key, waited time.Duration)
	// Withheld is a request that came, or came again, when nobody waited for it any
	// more, and was not given to the target; each is told of once.
	Withheld(key flow.Key, requestID []byte, reason Abandoned)
	// Unwanted is a request whose client left while the target had it, for as long.
	Unwanted(key flow.Key, had time.Duration)
	PassedOn(key flow.Key, reason string, hops int)
	// Bounced is a packet that the target did not take.
	Bounced(key flow.Key, opening bool)
	Reset(key flow.Key, reason string)
	Dropped(reason DropReason)
	TargetReport(what string, b fleet.Heartbeat)
	// Failed is a request that the target answered with a failure or a reset.
	Failed()
	// Ejected tells that the target gets no new flows because it fails, or that this
	// has ended; trials and failures are those of the time before.
	Ejected(ejected bool, trials, failures int)
	// OnProbation tells that the target is up again after so many unplanned ends in a row
	// and gets no new flows for a while.
	OnProbation(ends int, proof time.Duration)
	// Overloaded tells that an overload of the target stands, or that this has ended; held
	// requests wait, a new one would for wait.
	Overloaded(stands bool, load backlog.Load, held int, wait time.Duration)
	PeerChanged(ip flow.IPv4, what string)
	// ZoneRelayed tells that another zone is told through relays from now on, or
	// directly again, and how many of its balancers were heard lately.
	ZoneRelayed(zone flow.Tag, balancers int, relayed bool)
	// Probed is a balancer of another zone whose messages are not relayed any more.
	Probed(ip flow.IPv4, silent time.Duration)
	// EvacuationsChanged tells that other zones than formerly are emptied; from is who
	// told it.
	EvacuationsChanged(now, former flow.Evacuations, from string)
}
