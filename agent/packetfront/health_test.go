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

// answer is what a target does with a request.
type answer func(f *fixture, client int)

func answerWith(data string) answer {
	return func(f *fixture, client int) {
		p := platformtest.FromTarget(keyOf(client), flow.ACK, 500, 0, []byte(data))
		h, err := f.codec.Decode(p)
		if err != nil {
			panic(err)
		}
		f.HandleTarget(f.now, &h, p)
	}
}

func resetFlow(f *fixture, client int) { f.targetSends(client, flow.RST, 500, 0) }

// requestWithACK opens a flow, sends a request, and lets the target acknowledge it before it
// answers.
func (f *fixture) requestWithACK(client int, a answer) {
	f.openAndRequest(client)
	f.targetSends(client, flow.ACK, 500, 0)
	if a != nil {
		a(f, client)
	}
}

// requestWithoutACK is requestWithACK without the acknowledgement: the answer is the first packet
// that the target sends after the handshake.
func (f *fixture) requestWithoutACK(client int, a answer) {
	f.openAndRequest(client)
	if a != nil {
		a(f, client)
	}
}

func (f *fixture) openAndRequest(client int) {
	f.syn(client, 0, 0)
	f.targetSends(client, flow.SYN|flow.ACK, 500, 0)
	f.deliver(envelope.Envelope{}, packet(keyOf(client), flow.ACK, 500, "GET"))
}

// TestATargetThatFailsIsEjected: a target is ejected for error answers and resets, but not for
// answers to faulty requests of its clients.
func TestATargetThatFailsIsEjected(t *testing.T) {
	const requests = 40
	for name, c := range map[string]struct {
		good, bad answer
		// oneIn is n if every n-th request gets the bad answer.
		oneIn int
		want  bool
	}{
		"all fail":             {bad: answerWith("HTTP/1.1 500 Internal"), oneIn: 1, want: true},
		"all are shed":         {bad: answerWith("HTTP/1.1 503 Busy"), oneIn: 1, want: true},
		"half fail":            {good: answerWith("HTTP/1.1 200 OK"), bad: answerWith("HTTP/1.1 500 Internal"), oneIn: 2, want: true},
		"half are reset":       {good: answerWith("HTTP/1.1 200 OK"), bad: resetFlow, oneIn: 2, want: true},
		"one in ten fails":     {good: answerWith("HTTP/1.1 200 OK"), bad: answerWith("HTTP/1.1 500 Internal"), oneIn: 10, want: false},
		"clients' faults":      {bad: answerWith("HTTP/1.1 404 Not Found"), oneIn: 1, want: false},
		"misdirected requests": {bad: answerWith("HTTP/1.1 421 Misdirected"), oneIn: 1, want: false},
		"not HTTP":             {bad: answerWith("5"), oneIn: 1, want: false},
	} {
		for form, request := range map[string]func(*fixture, int, answer){
			"acknowledged": (*fixture).requestWithACK, "answered at once": (*fixture).requestWithoutACK,
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

// TestATargetThatDidWellBeforeIsEjectedSoon: after 220 good answers a third of the requests fail.
// The good ones must not delay the ejection to 15 failures.
func TestATargetThatDidWellBeforeIsEjectedSoon(t *testing.T) {
	f := newFixture()
	next := 0
	do := func(a answer) {
		f.requestWithoutACK(next, a)
		next++
		f.now = f.now.Add(45 * time.Millisecond)
	}
	for range 220 {
		do(answerWith("HTTP/1.1 200 OK"))
	}
	failed := 0
	for i := 0; !f.health.ejected; i++ {
		if i%3 == 0 {
			do(answerWith("HTTP/1.1 500 Internal"))
			failed++
			continue
		}
		do(answerWith("HTTP/1.1 200 OK"))
	}
	require.Less(t, failed, 15)
}

// TestLoadThatIsShedIsNoFailure: a request that is shed while all slots are taken is no failure;
// one that is shed with free slots is.
func TestLoadThatIsShedIsNoFailure(t *testing.T) {
	f := newFixture()
	for i := range 4 {
		f.openAndRequest(i)
	}
	for i := range 40 {
		f.requestWithoutACK(10+i, answerWith("HTTP/1.1 503 Busy"))
	}
	require.False(t, f.health.ejected)
	for i := range 4 {
		answerWith("HTTP/1.1 200 OK")(f, i)
	}
	for i := range 40 {
		f.requestWithoutACK(100+i, answerWith("HTTP/1.1 503 Busy"))
	}
	require.True(t, f.health.ejected, "with slots free")
}

// TestATargetThatRefusesAFlowHasNotFailed: a reset before any request was delivered is no failure.
func TestATargetThatRefusesAFlowHasNotFailed(t *testing.T) {
	f := newFixture()
	for i := range 40 {
		f.syn(i, 0, 0)
		f.targetSends(i, flow.SYN|flow.ACK, 500, 0)
		resetFlow(f, i)
	}
	require.False(t, f.health.ejected)
}

// TestResetsOfAnsweredFlowsAreNoFailures: a target may reset a flow after its answer.
func TestResetsOfAnsweredFlowsAreNoFailures(t *testing.T) {
	f := newFixture()
	for i := range 40 {
		f.requestWithACK(i, answerWith("HTTP/1.1 200 OK"))
		resetFlow(f, i)
	}
	require.False(t, f.health.ejected)
}

// TestAnEjectedTargetComesBack: an ejected target gets new flows only if there is no other
// candidate; it is readmitted after a while, with a warm-up.
func TestAnEjectedTargetComesBack(t *testing.T) {
	f := newFixture()
	for i := range 10 {
		f.requestWithACK(i, answerWith("HTTP/1.1 500 Internal"))
	}
	require.True(t, f.health.ejected)
	before := len(f.port.target)
	e := envelope.Envelope{Service: service}
	e.SetCandidates([]flow.IPv4{nextIP})
	f.deliver(e, packet(keyOf(100), flow.SYN, 0, ""))
	require.Len(t, f.port.target, before)
	require.Equal(t, nextIP, f.port.Last().To)
	f.syn(101, 0, 0)
	require.Len(t, f.port.target, before+1, "there is no other candidate")
	f.advance(10 * time.Second)
	a := f.announcement(f.now)
	require.False(t, a.Ejected)
	require.Equal(t, fleet.Ready, a.State)
	require.EqualValues(t, readmissionWarmup.Milliseconds(), a.WarmupMillis)
	f.advance(readmissionWarmup)
	require.Zero(t, f.announcement(f.now).WarmupMillis)
}

// crashAndRestart lets the target crash and start again after the given time.
func (f *fixture) crashAndRestart(down time.Duration) {
	f.TargetProbed(f.now, ProbeRefused)
	f.advance(down)
	f.TargetProbed(f.now, ProbeAccepted)
}

// probationTime passes time until the target is no longer announced as ejected, and returns how
// long that took.
func (f *fixture) probationTime() time.Duration {
	began := f.now
	for f.announcement(f.now).Ejected {
		f.advance(100 * time.Millisecond)
	}
	return f.now.Sub(began)
}

// TestCrashedTargetIsOnProbation: the probation doubles with each crash in a row, up to a maximum,
// and starts from the minimum again once the target has been up for long.
func TestCrashedTargetIsOnProbation(t *testing.T) {
	f := newFixture()
	require.Zero(t, f.probationTime(), "the first start is not on probation")
	for _, want := range []time.Duration{2, 4, 8, 16, 30} {
		f.crashAndRestart(800 * time.Millisecond)
		require.Equal(t, want*time.Second, f.probationTime())
	}
	require.Equal(t, maxProbation, crashMemory)
	f.crashAndRestart(800 * time.Millisecond)
	require.Equal(t, minProbation, f.probationTime(), "it was up for long")
}

// TestFlappingTargetGetsNoFlow: a target that is up for 400 ms at a time never completes its
// probation.
func TestFlappingTargetGetsNoFlow(t *testing.T) {
	f := newFixture()
	for range 20 {
		f.crashAndRestart(400 * time.Millisecond)
		for range 4 {
			require.True(t, f.announcement(f.now).Ejected)
			f.advance(100 * time.Millisecond)
		}
	}
}

// TestPlannedEndsAreNoCrashes: a target that deregistered before its end, one that a new agent
// finds down first, and one that crashed long ago are not on probation.
func TestPlannedEndsAreNoCrashes(t *testing.T) {
	for name, do := range map[string]func(f *fixture){
		"after a deregistration": func(f *fixture) {
			f.Deregister(f.now, fleet.TargetIncarnation{TargetID: "i-1"})
			f.TargetProbed(f.now, ProbeRefused)
			f.receiveHeartbeatOf(time.Second, "i-2", 1, false)
		},
		"a new agent": func(f *fixture) {
			f.Core = New(f.now, f.opts, f.port, f.codec, f.events)
			f.crashAndRestart(400 * time.Millisecond)
		},
		"long ago": func(f *fixture) {
			f.TargetProbed(f.now, ProbeRefused)
			f.advance(crashMemory + 1)
			f.TargetProbed(f.now, ProbeAccepted)
		},
	} {
		f := newFixture()
		do(f)
		require.Equal(t, fleet.Ready, f.target.state(), name)
		require.Zero(t, f.probationTime(), name)
	}
}
