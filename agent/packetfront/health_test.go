package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
	"github.com/poppywall/poppywall/platform/platformtest"
)

// answers are what a target may do with a request.
type answer func(f *fixture, client int)

func says(data string) answer {
	return func(f *fixture, client int) {
		p := platformtest.FromTarget(keyOf(client), flow.ACK, 500, 0, []byte(data))
		h, err := f.codec.Decode(p)
		if err != nil {
			panic(err)
		}
		f.HandleTarget(f.now, &h, p)
	}
}

func resets(f *fixture, client int) { f.targetSends(client, flow.RST, 500, 0) }

// request opens a flow, asks on it, and lets the target answer.
func (f *fixture) request(client int, a answer) {
	f.ask(client)
	f.targetSends(client, flow.ACK, 500, 0)
	if a != nil {
		a(f, client)
	}
}

// requestAtOnce does the same at a target whose answer is the first that it sends.
func (f *fixture) requestAtOnce(client int, a answer) {
	f.ask(client)
	if a != nil {
		a(f, client)
	}
}

func (f *fixture) ask(client int) {
	f.syn(client, 0, 0)
	f.targetSends(client, flow.SYN|flow.ACK, 500, 0)
	f.deliver(envelope.Envelope{}, packet(keyOf(client), flow.ACK, 500, "GET"))
}

// TestATargetThatFailsIsEjected, by what it answers and by resets, and not for
// answers that are its clients' own fault or for resets that nobody waits for.
func TestATargetThatFailsIsEjected(t *testing.T) {
	const requests = 40
	for name, c := range map[string]struct {
		good, bad answer
		// oneIn is how many of the requests go badly: each so many-th.
		oneIn int
		want  bool
	}{
		"all fail":          {bad: says("HTTP/1.1 500 Internal"), oneIn: 1, want: true},
		"all are shed":      {bad: says("HTTP/1.1 503 Busy"), oneIn: 1, want: true},
		"half fail":         {good: says("HTTP/1.1 200 OK"), bad: says("HTTP/1.1 500 Internal"), oneIn: 2, want: true},
		"half are reset":    {good: says("HTTP/1.1 200 OK"), bad: resets, oneIn: 2, want: true},
		"one in ten fails":  {good: says("HTTP/1.1 200 OK"), bad: says("HTTP/1.1 500 Internal"), oneIn: 10, want: false},
		"clients' faults":   {bad: says("HTTP/1.1 404 Not Found"), oneIn: 1, want: false},
		"refused as others": {bad: says("HTTP/1.1 421 Misdirected"), oneIn: 1, want: false},
		"not HTTP":          {bad: says("5"), oneIn: 1, want: false},
	} {
		for form, request := range map[string]func(*fixture, int, answer){
			"acknowledged": (*fixture).request, "answered at once": (*fixture).requestAtOnce,
		} {
			f := newFixture()
			for i := range requests {
				do := c.bad
				if i%c.oneIn != 0 {
					do = c.good
				}
				request(f, i, do)
				f.now = f.now.Add(30 * time.Millisecond)
			}
			require.Equal(t, c.want, f.health.ejected, "%s, %s", name, form)
			require.Equal(t, c.want, f.announcement(f.now).Ejected, "%s, %s", name, form)
		}
	}
}

// TestATargetThatDidWellBeforeIsEjectedSoon: a third of its requests fail from now on.
func TestATargetThatDidWellBeforeIsEjectedSoon(t *testing.T) {
	f := newFixture()
	next := 0
	do := func(a answer) {
		f.requestAtOnce(next, a)
		next++
		f.now = f.now.Add(45 * time.Millisecond)
	}
	for range 220 {
		do(says("HTTP/1.1 200 OK"))
	}
	failed := 0
	for i := 0; !f.health.ejected; i++ {
		if i%3 == 0 {
			do(says("HTTP/1.1 500 Internal"))
			failed++
			continue
		}
		do(says("HTTP/1.1 200 OK"))
	}
	require.Less(t, failed, 15)
}

// TestLoadThatIsShedIsNoFailure: of requests that the target had to queue.
func TestLoadThatIsShedIsNoFailure(t *testing.T) {
	f := newFixture()
	for i := range 4 {
		f.ask(i)
	}
	for i := range 40 {
		f.requestAtOnce(10+i, says("HTTP/1.1 503 Busy"))
	}
	require.False(t, f.health.ejected)
	for i := range 4 {
		says("HTTP/1.1 200 OK")(f, i)
	}
	for i := range 40 {
		f.requestAtOnce(100+i, says("HTTP/1.1 503 Busy"))
	}
	require.True(t, f.health.ejected, "with slots free")
}

// TestATargetThatRefusesAFlowHasNotFailed: nothing was asked of it yet.
func TestATargetThatRefusesAFlowHasNotFailed(t *testing.T) {
	f := newFixture()
	for i := range 40 {
		f.syn(i, 0, 0)
		f.targetSends(i, flow.SYN|flow.ACK, 500, 0)
		resets(f, i)
	}
	require.False(t, f.health.ejected)
}

// TestResetsThatNobodyWaitsForAreNoFailures: a target resets what belongs to flows
// that it has ended.
func TestResetsThatNobodyWaitsForAreNoFailures(t *testing.T) {
	f := newFixture()
	for i := range 40 {
		f.request(i, says("HTTP/1.1 200 OK"))
		resets(f, i)
	}
	require.False(t, f.health.ejected)
}

// TestAnEjectedTargetComesBack after a while, slowly, and meanwhile takes new flows
// only when no other target does.
func TestAnEjectedTargetComesBack(t *testing.T) {
	f := newFixture()
	for i := range 10 {
		f.request(i, says("HTTP/1.1 500 Internal"))
	}
	require.True(t, f.health.ejected)
	before := len(f.port.target)
	e := envelope.Envelope{Service: service}
	e.SetCandidates([]flow.Candidate{{Target: nextIP, Service: service}})
	f.deliver(e, packet(keyOf(100), flow.SYN, 0, ""))
	require.Len(t, f.port.target, before)
	require.Equal(t, nextIP, f.port.Last().To)
	f.syn(101, 0, 0)
	require.Len(t, f.port.target, before+1, "nobody else has it")
	f.pass(10 * time.Second)
	a := f.announcement(f.now)
	require.False(t, a.Ejected)
	require.Equal(t, fleet.Ready, a.State)
	require.EqualValues(t, readmissionWarmup.Milliseconds(), a.WarmupMillis)
	f.pass(readmissionWarmup)
	require.Zero(t, f.announcement(f.now).WarmupMillis)
}

// goesDownAndUp lets the target end without a word and start again.
func (f *fixture) goesDownAndUp(down time.Duration) {
	f.Probed(f.now, ProbeRefused)
	f.pass(down)
	f.Probed(f.now, ProbeAccepted)
}

// unprovenFor is how long a target that is up gets no new flow.
func (f *fixture) unprovenFor() time.Duration {
	began := f.now
	for f.announcement(f.now).Ejected {
		f.pass(100 * time.Millisecond)
	}
	return f.now.Sub(began)
}

// TestATargetThatEndsUnplannedProvesItself: for longer after each relapse, and as at
// first again when it has been up for long.
func TestATargetThatEndsUnplannedProvesItself(t *testing.T) {
	f := newFixture()
	require.Zero(t, f.unprovenFor(), "a first start proves itself by what it does")
	for _, want := range []time.Duration{2, 4, 8, 16, 30} {
		f.goesDownAndUp(800 * time.Millisecond)
		require.Equal(t, want*time.Second, f.unprovenFor())
	}
	require.Equal(t, maxProbation, crashMemory)
	f.goesDownAndUp(800 * time.Millisecond)
	require.Equal(t, minProbation, f.unprovenFor(), "it was up for long")
}

// TestATargetThatGoesDownAndUpByTurnsGetsNoFlow: it does not stay up for long enough.
func TestATargetThatGoesDownAndUpByTurnsGetsNoFlow(t *testing.T) {
	f := newFixture()
	for range 20 {
		f.goesDownAndUp(400 * time.Millisecond)
		for range 4 {
			require.True(t, f.announcement(f.now).Ejected)
			f.pass(100 * time.Millisecond)
		}
	}
}

// TestPlannedEndsAreNoRelapses: of a release, or of a target that starts again after its
// farewell; nor is a start that a fresh agent finds.
func TestPlannedEndsAreNoRelapses(t *testing.T) {
	for name, do := range map[string]func(f *fixture){
		"after a farewell": func(f *fixture) {
			f.Leave(f.now, fleet.Incarnation{TargetID: "i-1"})
			f.Probed(f.now, ProbeRefused)
			f.beatOf(time.Second, "i-2", 1, false)
		},
		"a fresh agent": func(f *fixture) {
			f.Core = New(f.now, f.opts, f.port, f.codec, f.events)
			f.goesDownAndUp(400 * time.Millisecond)
		},
		"long ago": func(f *fixture) {
			f.Probed(f.now, ProbeRefused)
			f.pass(crashMemory + 1)
			f.Probed(f.now, ProbeAccepted)
		},
	} {
		f := newFixture()
		do(f)
		require.Equal(t, fleet.Ready, f.target.state(), name)
		require.Zero(t, f.unprovenFor(), name)
	}
}
