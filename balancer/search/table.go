package search

import (
	"time"

	"github.com/poppywall/poppywall/flow"
)

// MaxFlows bounds a balancer's table: 6 MB at some 100 bytes per flow. The planned size of the
// platform is 12 M flows over 1,700 nodes, 7,000 each.
const MaxFlows = 1 << 16

// entry is the record of a flow.
type entry struct {
	target flow.IPv4
	usedAt time.Time
	// openedAt is when the flow's first SYN arrived at this balancer; zero if it did not.
	openedAt time.Time
	// uncertain is set while the target cannot tell whether it holds the flow.
	uncertain bool
}

// Table records the targets of flows. It is soft state: any entry may be lost at any moment, and a
// search then finds the flow's target again.
type Table struct {
	flows map[flow.Key]entry
	limit int
}

// NewTable returns an empty table of at most limit flows.
func NewTable(limit int) *Table {
	return &Table{flows: map[flow.Key]entry{}, limit: limit}
}

// Get returns the target of a flow and marks the entry as used.
func (t *Table) Get(now time.Time, key flow.Key) (flow.IPv4, bool) {
	e, ok := t.flows[key]
	if !ok {
		return 0, false
	}
	if now.Sub(e.usedAt) > time.Second {
		e.usedAt = now
		t.flows[key] = e
	}
	return e.target, true
}

// Put records a flow's target. A full table evicts an arbitrary flow.
func (t *Table) Put(now time.Time, key flow.Key, target flow.IPv4) {
	if _, known := t.flows[key]; !known && len(t.flows) >= t.limit {
		for victim := range t.flows {
			delete(t.flows, victim)
			break
		}
	}
	t.flows[key] = entry{target: target, usedAt: now, openedAt: t.flows[key].openedAt}
}

// RecordSYN records where the first SYN of a flow was sent.
func (t *Table) RecordSYN(now time.Time, key flow.Key, target flow.IPv4) {
	t.Put(now, key, target)
	t.flows[key] = entry{target: target, usedAt: now, openedAt: now}
}

// SYNRecord returns where a flow was sent and when its first SYN arrived; the time is zero if the
// SYN did not arrive at this balancer.
func (t *Table) SYNRecord(key flow.Key) (flow.IPv4, time.Time) {
	e := t.flows[key]
	return e.target, e.openedAt
}

// MarkUncertain records that the recorded target of a flow cannot tell whether it holds the flow.
func (t *Table) MarkUncertain(key flow.Key, target flow.IPv4) {
	if e, ok := t.flows[key]; ok && e.target == target {
		e.uncertain = true
		t.flows[key] = e
	}
}

// Drop removes a flow if it is recorded at the target.
func (t *Table) Drop(key flow.Key, target flow.IPv4) {
	if e, ok := t.flows[key]; ok && e.target == target {
		delete(t.flows, key)
	}
}

// DropTarget removes all flows at a target.
func (t *Table) DropTarget(target flow.IPv4) {
	for key, e := range t.flows {
		if e.target == target {
			delete(t.flows, key)
		}
	}
}

// Expire removes flows idle for longer than idle.
func (t *Table) Expire(now time.Time, idle time.Duration) {
	for key, e := range t.flows {
		if now.Sub(e.usedAt) > idle {
			delete(t.flows, key)
		}
	}
}
