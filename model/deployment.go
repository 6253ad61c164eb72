package model

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/poppywall/poppywall/settings"
)

// Class is a kind of request. Several classes may share a service.
type Class struct {
	Name    string `json:"name" validate:"required"`
	Service string `json:"service" validate:"required"`
	// Rate is in requests per second.
	Rate float64 `json:"rate" validate:"gt=0"`
	// Work is the mean service time of a request, log-normally distributed with sigma Spread;
	// Tail comes on top.
	Work   settings.Duration `json:"work" validate:"gt=0"`
	Spread float64           `json:"spread" validate:"gte=0"`
	// Objective is the latency objective. Deadline is when callers give up.
	Objective settings.Duration `json:"objective" validate:"gt=0"`
	Deadline  settings.Duration `json:"deadline" validate:"gt=0"`
	Priority  uint8             `json:"priority"`
	// Unsafe requests are retried only if they certainly have not run.
	Unsafe bool `json:"unsafe"`
	// Retries is the maximum number of retries of a caller.
	Retries int `json:"retries" validate:"gte=0"`
	// Tail is the share of requests that take TailFactor times as long as the others.
	Tail       float64 `json:"tail" validate:"gte=0,lte=1"`
	TailFactor float64 `json:"tailFactor" validate:"eq=0|gte=1"`
	// Requests is the mean number of requests of a flow, sent one after the other; the number
	// is geometrically distributed. At 0 or 1 each request has a flow of its own.
	Requests float64 `json:"requests" validate:"eq=0|gte=1"`
	// Pause is the mean time from an answer to the flow's next request, exponentially
	// distributed. A pattern's load factor divides it.
	Pause settings.Duration `json:"pause" validate:"gte=0"`
	// FirstPause is the mean time from the end of the handshake to the flow's first request,
	// exponentially distributed; zero if the request ends the handshake.
	FirstPause settings.Duration `json:"firstPause" validate:"gte=0"`
}

// meanWork returns the mean service time of a request, the tail included.
func (c *Class) meanWork() time.Duration {
	return time.Duration(float64(c.Work) * (1 + c.Tail*max(c.TailFactor-1, 0)))
}

// multiRequest reports whether flows carry several requests.
func (c *Class) multiRequest() bool { return c.Requests > 1 }

// Service is a group of targets.
type Service struct {
	Name    string `json:"name" validate:"required"`
	Targets int    `json:"targets" validate:"gt=0"`
	Slots   int    `json:"slots" validate:"gt=0"`
	// Queue is the number of requests that a target queues when its slots are in use; it sheds
	// the rest.
	Queue int `json:"queue" validate:"gte=0"`
	// ColdTime is how long after its start a target takes ColdFactor times as long.
	ColdTime   settings.Duration `json:"coldTime"`
	ColdFactor float64           `json:"coldFactor" validate:"gte=1"`
	// Speeds are factors on the service time, assigned to the targets in rotation. All targets
	// are equal if there are none.
	Speeds []float64 `json:"speeds" validate:"dive,gt=0"`
	// StartDelay is how long after their agents the first targets start. Agents that have seen
	// their target start know all its flows.
	StartDelay settings.Duration `json:"startDelay" validate:"gte=0"`
}

// Deployment describes the simulated site and its load.
type Deployment struct {
	Name      string    `json:"name" validate:"required"`
	Zones     int       `json:"zones" validate:"gt=0"`
	Balancers int       `json:"balancers" validate:"gt=0"`
	Services  []Service `json:"services" validate:"min=1,dive"`
	Classes   []Class   `json:"classes" validate:"min=1,dive"`
	// Clients is the number of client addresses in each zone, 32 when zero.
	Clients int `json:"clients" validate:"gte=0,lte=60000"`
	// ZoneDelay is the one-way delay between zones, ClientDelay the one from clients to balancers.
	ZoneDelay   settings.Duration `json:"zoneDelay"`
	ClientDelay settings.Duration `json:"clientDelay"`
}

// DefaultDeployment returns a deployment with seven targets at 70% of their capacity.
func DefaultDeployment() Deployment {
	return Deployment{
		Name: "seven targets", Zones: 3, Balancers: 5,
		Services: []Service{
			{Name: "main", Targets: 7, Slots: 4, Queue: 16, ColdTime: ms(2000), ColdFactor: 1.6},
			{Name: "side", Targets: 3, Slots: 4, Queue: 16, ColdTime: ms(2000), ColdFactor: 1.6},
		},
		Classes: []Class{
			{Name: "read", Service: "main", Rate: 300, Work: ms(30), Spread: 0.5, Objective: ms(150), Deadline: ms(2500), Priority: 2, Retries: 2},
			{Name: "write", Service: "main", Rate: 85, Work: ms(39), Spread: 0.5, Objective: ms(200), Deadline: ms(3000), Priority: 1, Unsafe: true, Retries: 2},
			{Name: "fetch", Service: "side", Rate: 25, Work: ms(5), Spread: 0.3, Objective: ms(500), Deadline: ms(8000), Priority: 2, Retries: 2},
		},
		ZoneDelay: settings.Duration(1400 * time.Microsecond), ClientDelay: ms(1),
	}
}

// unevenLoad is the share of its capacity that UnevenDeployment has in use.
const unevenLoad = 0.92

// UnevenDeployment returns a deployment with 44 targets, a quarter of them 2.2 times as fast as
// the others, at 92% of the capacity. Its load is flows of several requests and unsafe requests.
func UnevenDeployment() Deployment {
	d := Deployment{
		Name: "uneven targets", Zones: 3, Balancers: 18,
		Services: []Service{{
			Name: "main", Targets: 44, Slots: 3, Queue: 12, ColdTime: ms(2000), ColdFactor: 1.6,
			Speeds: []float64{0.55, 1.2, 1.2, 1.2},
		}},
		Classes: []Class{
			{Name: "stream", Service: "main", Work: ms(47), Spread: 0.5, Tail: 0.03, TailFactor: 7, Objective: ms(300), Deadline: ms(3000), Priority: 2, Retries: 2, Requests: 5.6, Pause: ms(2500)},
			{Name: "order", Service: "main", Work: ms(61), Spread: 0.5, Tail: 0.03, TailFactor: 7, Objective: ms(400), Deadline: ms(3000), Priority: 1, Unsafe: true, Retries: 2},
		},
		ZoneDelay: settings.Duration(1400 * time.Microsecond), ClientDelay: ms(1),
	}
	const streams, orders = 3.5, 1
	work := (streams*d.Classes[0].meanWork().Seconds() + orders*d.Classes[1].meanWork().Seconds()) / (streams + orders)
	rate := unevenLoad * d.Services[0].capacity() / work
	d.Classes[0].Rate, d.Classes[1].Rate = rate*streams/(streams+orders), rate*orders/(streams+orders)
	return d
}

// capacity returns the capacity of all targets, in slots of a target of speed 1.
func (s *Service) capacity() float64 {
	sum := 0.0
	for i := range s.Targets {
		sum += float64(s.Slots) / s.speed(i)
	}
	return sum
}

// speed returns the factor on the service time of the service's nth target.
func (s *Service) speed(n int) float64 {
	if len(s.Speeds) == 0 {
		return 1
	}
	return s.Speeds[n%len(s.Speeds)]
}

func ms(n int) settings.Duration { return settings.Duration(time.Duration(n) * time.Millisecond) }

// Bounds of RandomDeployment.
const (
	minTargets, maxTargets   = 3, 200
	minSlots, maxSlots       = 1, 16
	minWork, maxWork         = 5 * time.Millisecond, 200 * time.Millisecond
	minDeadline, maxDeadline = 500 * time.Millisecond, 10 * time.Second
	minLoad, maxLoad         = 0.3, 1.3
	// The objective is minObjectiveFactor to maxObjectiveFactor times the mean service time, but at
	// most half of the deadline.
	minObjectiveFactor               = 4
	maxObjectiveFactor               = 8
	unsafeShare                      = 0.22
	targetsPerBalancer, minBalancers = 4, 3
	// maxRate limits the cost of simulating a seed, in requests per second.
	maxRate = 3000
)

// RandomDeployment returns a random deployment, so that no policy is tuned to one site. Sizes,
// service times and deadlines are log-uniformly distributed, the load uniformly.
func RandomDeployment(rnd *rand.Rand) Deployment {
	targets := int(logUniform(rnd, minTargets, maxTargets))
	slots := int(logUniform(rnd, minSlots, maxSlots))
	work := time.Duration(logUniform(rnd, float64(minWork), float64(maxWork)))
	deadline := time.Duration(logUniform(rnd, float64(minDeadline), float64(maxDeadline)))
	objective := time.Duration((minObjectiveFactor + rnd.Float64()*(maxObjectiveFactor-minObjectiveFactor)) * float64(work))
	objective = min(objective, deadline/2)
	load := minLoad + rnd.Float64()*(maxLoad-minLoad)
	rate := load * float64(targets*slots) / work.Seconds()
	if rate > maxRate {
		targets = max(int(float64(targets)*maxRate/rate), 1)
		rate = load * float64(targets*slots) / work.Seconds()
	}
	class := Class{
		Name: "read", Service: "main", Rate: rate * (1 - unsafeShare), Work: settings.Duration(work), Spread: 0.5,
		Objective: settings.Duration(objective), Deadline: settings.Duration(deadline), Priority: 2, Retries: 2,
	}
	write := class
	write.Name, write.Rate, write.Priority, write.Unsafe = "write", rate*unsafeShare, 1, true
	return Deployment{
		Name: "drawn", Zones: 1 + rnd.IntN(4), Balancers: max(minBalancers, targets/targetsPerBalancer),
		Services:  []Service{{Name: "main", Targets: targets, Slots: slots, Queue: 4 * slots, ColdTime: ms(2000), ColdFactor: 1.6}},
		Classes:   []Class{class, write},
		ZoneDelay: ms(1 + rnd.IntN(2)), ClientDelay: ms(1 + rnd.IntN(3)),
	}
}

func logUniform(rnd *rand.Rand, low, high float64) float64 {
	return low * math.Exp(rnd.Float64()*math.Log(high/low))
}

// clientsPerZone returns the number of client addresses in each zone.
func (d *Deployment) clientsPerZone() int {
	if d.Clients == 0 {
		return defaultClientsPerZone
	}
	return d.Clients
}
