package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// Doubt is why a flow that no candidate holds may live all the same. Only a flow
// that is certainly over is reset.
type Doubt string

// The doubts.
const (
	// DoubtHost: a host that was asked could not say a certain no.
	DoubtHost Doubt = "a host is unsure"
	// DoubtView: hosts came, went or changed during the search.
	DoubtView Doubt = "the view changed"
	// DoubtFresh: the balancer has just started; agents have not found it yet.
	DoubtFresh Doubt = "just started"
	// DoubtSurvey: the registry of agents was not read lately.
	DoubtSurvey Doubt = "no survey"
	// DoubtRegistry: an agent that is heard is not registered, so others may be
	// missing there: the store was away when they started.
	DoubtRegistry Doubt = "registry incomplete"
	// DoubtMissing: an agent that the registry or another balancer names was not
	// heard.
	DoubtMissing Doubt = "a host was not asked"
)

// Times of the proof that a flow is over.
const (
	// freshTime is how long after its start a balancer takes its view for
	// incomplete. Agents that live greet a new balancer within a round trip of
	// its joining, a balancer joins by its seeds five times a second, and views
	// are compared each half second.
	freshTime = 500 * time.Millisecond
	// absentTime is how long an agent that is registered and was not heard keeps
	// flows in doubt: longer than a process takes to be restarted. After that its
	// VM counts as gone.
	absentTime = 4 * time.Second
	// surveyTTL is how long a reading of the registry counts.
	surveyTTL = 5 * time.Second
	// surveyPause is the least pause between readings.
	surveyPause = time.Second
)

// survey is the last reading of the agents' registry. An agent is registered
// from its first start on: so a balancer that has just started learns from it
// which hosts may hold flows, also when their agents are not back.
type survey struct {
	roll
	readAt   time.Time
	wanted   bool
	wantedAt time.Time
}

// doubt tells whether a flow for which every candidate was asked may live, and
// the host that it may live at if that is known.
func (c *Core) doubt(now time.Time, env *envelope.Envelope) (Doubt, flow.IPv4) {
	switch {
	case env.Flags&envelope.Unsure != 0:
		return DoubtHost, 0
	case env.Generation != c.generation():
		return DoubtView, 0
	}
	return c.incomplete(now)
}

// incomplete tells why there may be hosts that this balancer does not know, and
// one of them if that is known.
func (c *Core) incomplete(now time.Time) (Doubt, flow.IPv4) {
	switch {
	case now.Sub(c.startedAt) < freshTime:
		return DoubtFresh, 0
	case c.survey.readAt.IsZero() || now.Sub(c.survey.readAt) > surveyTTL:
		c.survey.wanted = true
		return DoubtSurvey, 0
	}
	if ip, missing := c.unheard(now); missing {
		return DoubtMissing, ip
	}
	if ip, missing := c.unregistered(); missing {
		c.survey.wanted = true
		return DoubtRegistry, ip
	}
	return "", 0
}

// unheard returns a host that may hold flows and could not be asked.
func (c *Core) unheard(now time.Time) (flow.IPv4, bool) {
	if ip, missing := c.survey.missing(now, c.view.KnowsHost); missing {
		return ip, true
	}
	for ip, at := range c.named {
		if c.view.KnowsHost(ip) || now.Sub(at) > fleet.Forget {
			delete(c.named, ip)
			continue
		}
		return ip, true
	}
	for _, ip := range c.view.Hosts() {
		if h, _ := c.view.Host(ip); h.Quiet(now) && h.State != fleet.Gone {
			return ip, true
		}
	}
	return 0, false
}

// unregistered returns an agent that is heard and not in the registry.
func (c *Core) unregistered() (flow.IPv4, bool) {
	for _, ip := range c.view.Hosts() {
		if h, _ := c.view.Host(ip); h.State != fleet.Gone && !c.survey.lists(ip) {
			return ip, true
		}
	}
	return 0, false
}

// WantsSurvey tells whether the registry of agents is to be read: right after
// the start, and when a flow seems to be over.
func (c *Core) WantsSurvey(now time.Time) bool {
	if now.Sub(c.survey.wantedAt) < surveyPause || (!c.survey.wanted && !c.survey.readAt.IsZero()) {
		return false
	}
	c.survey.wantedAt = now
	return true
}

// Surveyed takes a reading of the agents' registry that began at the given time.
func (c *Core) Surveyed(began time.Time, agents []fleet.Entry) {
	c.survey.take(began, agents, c.view.KnowsHost)
	c.survey.readAt, c.survey.wanted = began, false
	c.Greet(began, nil, fleet.Addresses(agents))
}
