package packetfront

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
	"github.com/poppywall/poppywall/platform/platformtest"
)

// inquire asks the agent about flows and returns the datagrams that it sends.
func (f *fixture) inquire(candidates []flow.Candidate, flows ...envelope.AskedFlow) []sentInquiry {
	f.port.Nodes = nil
	e := envelope.Envelope{Kind: envelope.Inquire, Balancer: balancerIP, SearchID: 7, Flags: envelope.Search}
	e.SetCandidates(candidates)
	q := envelope.Inquiry{Flows: flows}
	f.HandleNode(f.now, balancerIP, append(e.Append(nil), q.Append(nil)...))
	var out []sentInquiry
	for _, s := range f.port.Nodes {
		var env envelope.Envelope
		body, err := env.Decode(s.Raw)
		if err != nil || s.Kind == envelope.Owner {
			out = append(out, sentInquiry{to: s.To, kind: s.Kind, raw: body})
			continue
		}
		// An owner's message is the only other one with an envelope here.
		answer, err := envelope.DecodeInquiry(body)
		if err != nil {
			panic(err)
		}
		out = append(out, sentInquiry{to: s.To, kind: s.Kind, search: env.SearchID, answer: answer})
	}
	return out
}

type sentInquiry struct {
	to     flow.IPv4
	kind   envelope.Kind
	search uint32
	answer envelope.Inquiry
	raw    []byte
}

var askedKey = flow.Key{ClientIP: 0x64400001, ClientPort: 1024, FrontIP: 7, FrontPort: 80}

// accept opens a flow at the target, whose first sequence number is given.
func (f *fixture) accept(key flow.Key, seq uint32) {
	p := platformtest.FromTarget(key, flow.SYN|flow.ACK, seq, 0, nil)
	h, err := platformCodec.Decode(p)
	if err != nil {
		panic(err)
	}
	f.HandleTarget(f.now, &h, p)
}

// TestAnAgentAnswersForAllFlowsAtOnce: it denies what its target does not hold, tells the
// balancer what it does, and passes the question on.
func TestAnAgentAnswersForAllFlowsAtOnce(t *testing.T) {
	unknown := askedKey
	unknown.ClientPort++
	flows := []envelope.AskedFlow{{Key: askedKey, Ack: 101}, {Key: unknown, Ack: 5}}
	f := newFixture()
	f.accept(askedKey, 100)
	sent := f.inquire([]flow.Candidate{{Target: nextIP}}, flows...)
	require.Len(t, sent, 2)
	require.Equal(t, envelope.Owner, sent[0].kind)
	key, err := envelope.DecodeKey(sent[0].raw)
	require.NoError(t, err)
	require.Equal(t, askedKey, key)
	require.Equal(t, sentInquiry{to: nextIP, kind: envelope.Inquire, search: 7, answer: envelope.Inquiry{Flows: flows}}, sent[1])

	sent = f.inquire(nil, flows[1])
	require.Equal(t, []sentInquiry{{to: balancerIP, kind: envelope.Inquired, search: 7, answer: envelope.Inquiry{Flows: flows[1:]}}}, sent)
	require.Empty(t, f.port.target, "nothing is delivered")
}

// TestALaterFlowBetweenTheSamePortsIsAnother.
func TestALaterFlowBetweenTheSamePortsIsAnother(t *testing.T) {
	f := newFixture()
	f.accept(askedKey, 1_000_000)
	sent := f.inquire(nil, envelope.AskedFlow{Key: askedKey, Ack: 9})
	require.Len(t, sent, 1)
	require.Equal(t, envelope.Inquired, sent[0].kind)
}

// TestAnAgentThatDoesNotKnowAllFlowsIsUnsure: it started while its target ran, or had to
// forget flows; one whose target is known to be away denies all.
func TestAnAgentThatDoesNotKnowAllFlowsIsUnsure(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(f *fixture)
		unsure  bool
	}{
		"saw its target start":      {prepare: func(*fixture) {}},
		"started beside its target": {prepare: func(f *fixture) { f.target.sawStart = false }, unsure: true},
		"had to forget flows":       {prepare: func(f *fixture) { f.flows.overflowed = true }, unsure: true},
		"knows nothing yet": {prepare: func(f *fixture) {
			*f.Core = *New(f.now, f.opts, f.port, platformCodec, f.tally)
		}, unsure: true},
		"its target is away": {prepare: func(f *fixture) {
			*f.Core = *New(f.now, f.opts, f.port, platformCodec, f.tally)
			f.Probed(f.now, ProbeRefused)
		}},
	} {
		f := newFixture()
		c.prepare(f)
		sent := f.inquire(nil, envelope.AskedFlow{Key: askedKey, Ack: 9})
		require.Len(t, sent, 1, name)
		var want []flow.IPv4
		if c.unsure {
			want = []flow.IPv4{f.opts.Self}
		}
		require.Equal(t, want, sent[0].answer.Unsure, name)
		require.Empty(t, f.port.Resets, name)
	}
}

// TestAFlowOfAnEndedTargetIsResetByTheAgent, who knows that it is over.
func TestAFlowOfAnEndedTargetIsResetByTheAgent(t *testing.T) {
	f := newFixture()
	f.accept(askedKey, 100)
	f.flows.get(askedKey).stage = dead
	sent := f.inquire(nil, envelope.AskedFlow{Key: askedKey, Ack: 101})
	require.Len(t, sent, 1)
	require.Equal(t, []flow.Key{askedKey}, f.port.Resets)
}

// TestADamagedInquiryIsDropped.
func TestADamagedInquiryIsDropped(t *testing.T) {
	f := newFixture()
	f.port.Nodes = nil
	e := envelope.Envelope{Kind: envelope.Inquire, Balancer: balancerIP}
	f.HandleNode(f.now, balancerIP, append(e.Append(nil), 0, 3, 1))
	require.Empty(t, f.port.Nodes)
}
