package fleet

import (
	"slices"

	"github.com/poppywall/poppywall/flow"
)

// ProcessRelation relates the process that sent a message to the processes that a view has seen at
// its address.
type ProcessRelation uint8

// The relations of a sending process to the processes seen.
const (
	// ProcessUnknown: no message came directly from this process.
	ProcessUnknown ProcessRelation = iota
	// ProcessCurrent: the process is the current one at its address.
	ProcessCurrent
	// ProcessFormer: the process was replaced by another one.
	ProcessFormer
)

// TargetProcess returns the relation of a process, given by its incarnation, to the agent's current
// process. Relayed messages are accepted only from the current process: a relay that
// was frozen may send messages of an earlier incarnation, which a receiver that has not seen
// the later one could not recognize as outdated.
func (v *View) TargetProcess(ip flow.IPv4, incarnation uint64) ProcessRelation {
	t, known := v.targets[ip]
	if !known {
		return ProcessUnknown
	}
	return t.filter.relationOf(incarnation)
}

// PeerProcess returns the relation of a process, given by its incarnation, to the balancer's current
// process.
func (v *View) PeerProcess(ip flow.IPv4, incarnation uint64) ProcessRelation {
	p, known := v.peers[ip]
	if !known {
		return ProcessUnknown
	}
	return p.filter.relationOf(incarnation)
}

func (f *replayFilter) relationOf(incarnation uint64) ProcessRelation {
	switch {
	case incarnation == f.ProcessIncarnation:
		return ProcessCurrent
	case slices.Contains(f.formerIncarnations[:], incarnation):
		return ProcessFormer
	default:
		return ProcessUnknown
	}
}

// FilterRelayed returns the part of a relayed announcement that may be applied, and whether the
// agent has to be probed for the rest. A relayed message may be late, and the target may have
// started again since. The state Gone and a change of the registration are therefore accepted
// only from the agent itself; otherwise flows of the restarted target would be treated as ended.
// Until the agent answers, a target that is relayed as gone counts as draining.
func (t *Target) FilterRelayed(a Announcement) (Announcement, bool) {
	gone := a.State == Gone && t.State != Gone
	if gone {
		a.State = Draining
	}
	probe := gone || a.Registration != t.Registration
	a.Registration = t.Registration
	return a, probe
}

// MarkRelayed records that messages of a node arrive through relays.
func (v *View) MarkRelayed(ip flow.IPv4) {
	if t, known := v.targets[ip]; known {
		t.relayed = true
	}
	if p, known := v.peers[ip]; known {
		p.relayed = true
	}
}
