package fleet

import (
	"slices"

	"github.com/poppywall/poppywall/flow"
)

// ProcessRelation relates the process that sent a message to the processes that a view has seen at
// its address.
type ProcessRelation uint8

// The relations of a sending process to those seen.
const (
	// ProcessUnknown: no message came directly from this process.
	ProcessUnknown ProcessRelation = iota
	// ProcessCurrent: the process is the current one at its address.
	ProcessCurrent
	// ProcessFormer: the process was replaced by another one.
	ProcessFormer
)

// TargetProcess returns the relation of a process, given by its incarnation, to the current
// one of an agent. Relayed messages are accepted only from the current process: a relay that
// was frozen may send messages of an earlier incarnation, which a receiver that has not seen
// the later one could not recognize as outdated.
func (v *View) TargetProcess(ip flow.IPv4, incarnation uint64) ProcessRelation {
	t, known := v.targets[ip]
	if !known {
		return ProcessUnknown
	}
	return t.filter.processOf(incarnation)
}

// PeerProcess returns the relation of a process to the current one of a balancer.
func (v *View) PeerProcess(ip flow.IPv4, incarnation uint64) ProcessRelation {
	p, known := v.peers[ip]
	if !known {
		return ProcessUnknown
	}
	return p.filter.processOf(incarnation)
}

func (f *replayFilter) processOf(incarnation uint64) ProcessRelation {
	switch {
	case incarnation == f.Incarnation:
		return ProcessCurrent
	case slices.Contains(f.formerIncarnations[:], incarnation):
		return ProcessFormer
	default:
		return ProcessUnknown
	}
}

// FilterRelayed returns the part of a relayed announcement that may be applied, and whether the
// agent is to be asked for the rest. Relayed messages may be late, and the target may have
// started again since. That it holds no flows, or that its registry entry was removed, is
// therefore accepted from the agent only; otherwise its new flows would be treated as
// ended. Until the agent answers, the target counts as draining.
func (t *Target) FilterRelayed(a Announcement) (Announcement, bool) {
	ends := a.State == Gone && t.State != Gone
	if ends {
		a.State = Draining
	}
	ask := ends || a.Registration != t.Registration
	a.Registration = t.Registration
	return a, ask
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
