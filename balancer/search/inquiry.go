package search

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// maxInquiries is how many inquiries ask about a flow before its packet is sent along the
// targets that are left: agents of an earlier version know no inquiries.
const maxInquiries = 2

// inquiry asks targets about many flows with the same messages. A balancer has one under
// way at a time; flows that come meanwhile are in the next one. So what it costs to learn
// that flows are over grows with the targets and the time, not with targets times flows:
// after an outage each flow that was open is over.
type inquiry struct {
	flows []inquiredFlow
	// visits are its messages that have not come back, by their number.
	visits map[uint32][]flow.Candidate
	// unsure are the targets that could not tell.
	unsure []flow.Candidate
	// until is when what has not come back counts as lost.
	until time.Time
}

// inquiredFlow is a flow as it was kept when it was asked about: one that is kept anew
// under the same key may be a later one.
type inquiredFlow struct {
	key  flow.Key
	kept *keptFlow
}

// inquire asks the unasked targets of a flow together with other flows.
func (f *Finder) inquire(now time.Time, key flow.Key, k *keptFlow) {
	k.inquiries++
	k.next = k.expires
	f.inquirers = append(f.inquirers, inquiredFlow{key, k})
	f.nextInquiry(now)
}

// nextInquiry begins an inquiry for the flows that wait for one, unless one is under way.
func (f *Finder) nextInquiry(now time.Time) {
	for f.inquiry == nil && len(f.inquirers) > 0 {
		f.inquirers = slices.DeleteFunc(f.inquirers, func(w inquiredFlow) bool { return f.kept.flows[w.key] != w.kept })
		count := min(len(f.inquirers), envelope.MaxAsked)
		q := &inquiry{flows: slices.Clone(f.inquirers[:count]), visits: map[uint32][]flow.Candidate{}, until: now.Add(keptPause)}
		f.inquirers = slices.Delete(f.inquirers, 0, count)
		if count > 0 {
			f.begin(now, q)
		}
	}
}

// begin sends the messages of an inquiry.
func (f *Finder) begin(now time.Time, q *inquiry) {
	var targets []flow.Candidate
	listed := map[flow.IPv4]bool{}
	asked := envelope.Inquiry{}
	for _, w := range q.flows {
		for _, candidate := range w.kept.unasked {
			if !listed[candidate.Target] && f.mayHold(now, candidate.Target) {
				listed[candidate.Target] = true
				targets = append(targets, candidate)
			}
		}
		h, err := f.codec.Decode(w.kept.first)
		if err != nil {
			// It was decoded when it came.
			f.kept.drop(w.key)
			continue
		}
		asked.Flows = append(asked.Flows, envelope.AskedFlow{Key: w.key, Ack: h.Ack})
	}
	f.inquiry = q
	f.events.Inquiring(len(asked.Flows), len(targets))
	body := asked.Append(nil)
	for _, part := range f.parts(now, targets, q.backward()) {
		f.searches++
		q.visits[f.searches] = part
		f.sendAs(envelope.Inquire, body, part, f.searches)
	}
	if len(q.visits) == 0 {
		f.endInquiry(now)
	}
}

// backward is that of its first flow: a repeated one meets a VM that has died last.
func (q *inquiry) backward() bool { return q.flows[0].kept.inquiries%2 == 0 }

// Inquired takes an inquiry's message back that has visited all of its targets.
func (f *Finder) Inquired(now time.Time, env *envelope.Envelope, answer envelope.Inquiry) {
	q := f.inquiry
	if q == nil || q.visits[env.SearchID] == nil {
		f.events.Dropped(DropLateAnswer)
		return
	}
	for _, candidate := range q.visits[env.SearchID] {
		if env.Flags&envelope.Unsure != 0 || slices.Contains(answer.Unsure, candidate.Target) {
			q.unsure = append(q.unsure, candidate)
		}
	}
	delete(q.visits, env.SearchID)
	if len(q.visits) == 0 {
		f.endInquiry(now)
	}
}

// expireInquiry ends an inquiry of which messages are lost.
func (f *Finder) expireInquiry(now time.Time) {
	if f.inquiry != nil && !now.Before(f.inquiry.until) {
		f.endInquiry(now)
	}
}

// endInquiry goes on with the flows of an inquiry: those that no target holds are
// concluded on, and where some targets could not tell, or have not answered, these are
// asked again.
func (f *Finder) endInquiry(now time.Time) {
	q := f.inquiry
	f.inquiry = nil
	left := map[flow.IPv4]bool{}
	for _, candidate := range q.unsure {
		left[candidate.Target] = true
	}
	lost := len(q.visits) > 0
	for _, part := range q.visits {
		for _, candidate := range part {
			left[candidate.Target] = true
		}
	}
	for _, w := range q.flows {
		if f.kept.flows[w.key] == w.kept {
			f.afterInquiry(now, w, left, lost)
		}
	}
	f.nextInquiry(now)
}

// afterInquiry goes on with one flow; left are the targets that have not denied it.
func (f *Finder) afterInquiry(now time.Time, w inquiredFlow, left map[flow.IPv4]bool, lost bool) {
	k := w.kept
	k.unasked = slices.DeleteFunc(k.unasked, func(c flow.Candidate) bool { return !left[c.Target] || !f.mayHold(now, c.Target) })
	h, err := f.codec.Decode(k.first)
	switch {
	case err != nil:
		f.kept.drop(w.key)
	case len(k.unasked) == 0:
		f.allAsked(now, w.key, k, &h, 0)
	default:
		if !lost {
			// By the key alone these cannot tell.
			k.inquiries = maxInquiries
		}
		k.searches++
		f.askRest(now, w.key, k)
	}
}

// askRest asks the unasked targets of a flow: in an inquiry where they are many.
func (f *Finder) askRest(now time.Time, key flow.Key, k *keptFlow) {
	if len(k.unasked) > f.opts.InquireFrom && k.inquiries < maxInquiries {
		f.inquire(now, key, k)
		return
	}
	targets := k.unasked
	k.unasked = nil
	f.visit(now, key, k, targets)
}

// mayHold tells whether a target may hold flows and can be asked.
func (f *Finder) mayHold(now time.Time, ip flow.IPv4) bool {
	h, known := f.view.Target(ip)
	return known && h.MayHold(now)
}
