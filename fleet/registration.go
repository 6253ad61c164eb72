package fleet

import "time"

// Registration is the state of an agent's own registry entry as the agent knows it.
type Registration uint8

// The states of a registration.
const (
	// RegistrationUnknown: the entry may or may not exist.
	RegistrationUnknown Registration = iota
	// RegistrationPresent: the store has the entry.
	RegistrationPresent
	// RegistrationRemoved: the entry was removed from the store.
	RegistrationRemoved
	// RegistrationAbandoned: the agent stops for good because its target has ended, and leaves behind
	// an entry that it could not remove.
	RegistrationAbandoned
)

// ApplySnapshot applies a snapshot of the agents' registry. latest is the latest time that it may
// reflect (Snapshot.Latest).
func (v *View) ApplySnapshot(now, latest time.Time, agents []Entry) {
	v.snapshotLatest = latest
	clear(v.registered)
	for _, e := range agents {
		v.registered[e.IP] = e.ProcessIncarnation
	}
	for _, ip := range v.Targets() {
		t := v.targets[ip]
		couldHold := t.MayHoldFlows(now)
		t.Registered = v.isRegistered(t)
		if t.MayHoldFlows(now) && !couldHold {
			v.markMayHold(t)
		}
	}
}

// isRegistered reports whether the last snapshot contains the target's agent. An entry whose
// removal the agent announced at or after the latest time that the snapshot may reflect does not
// count: the snapshot may be older than the removal.
func (v *View) isRegistered(t *Target) bool {
	_, listed := v.registered[t.IP]
	return listed && !(t.Registration == RegistrationRemoved && !t.RegistrationChangedAt.Before(v.snapshotLatest))
}

// MayHaveRestarted reports whether a target that last announced that it holds no flows, and that
// cannot be asked, may have started again since: the registry has an entry for it, other than
// the one that the announcing process itself has abandoned.
func (v *View) MayHaveRestarted(t *Target) bool {
	return t.Registered && !(t.Registration == RegistrationAbandoned && v.registered[t.IP] == t.ProcessIncarnation)
}

// AbandonedEntry returns the registry entry that an agent has abandoned.
func (v *View) AbandonedEntry(t *Target) Entry {
	if incarnation, listed := v.registered[t.IP]; listed {
		return Entry{IP: t.IP, ProcessIncarnation: incarnation}
	}
	return Entry{IP: t.IP, ProcessIncarnation: t.ProcessIncarnation}
}
