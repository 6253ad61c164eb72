package fleet

import (
	"slices"

	"github.com/poppywall/poppywall/flow"
)

// Process relates the process that sent a message to the processes that a view has seen at
// its address.
type Process uint8

// The relations of a sending process to those seen.
const (
	// Unknown: no message came directly from this process.
	Unknown Process = iota
	// Present: the process is the current one at its address.
	Present
	// Former: the process was replaced by another one.
	Former
)

// TargetProcess returns the relation of a process, given by its incarnation, to the current
// one of an agent. Relayed messages are accepted only from the current process: a relay that
// was frozen may send messages of an earlier incarnation, which a receiver that has not seen
// the later one could not recognize as outdated.
func (v *View) TargetProcess(ip flow.IPv4, incarnation uint64) Process {
	t, known := v.targets[ip]
	if !known {
		return Unknown
	}
	return t.filter.processOf(incarnation)
}

// PeerProcess returns the relation of a process to the current one of a balancer.
func (v *View) PeerProcess(ip flow.IPv4, incarnation uint64) Process {
	p, known := v.peers[ip]
	if !known {
		return Unknown
	}
	return p.filter.processOf(incarnation)
}

func (f *replayFilter) processOf(incarnation uint64) Process {
	switch {
	case incarnation == f.Epoch:
		return Present
	case slices.Contains(f.formerIncarnations[:], incarnation):
		return Former
	default:
		return Unknown
	}
}

// TakeRelayed returns the part of a relayed announcement that may be applied, and whether the
// agent is to be asked for the rest. Relayed messages may be late, and the target may have
// started again since. That it holds no flows, or that its registry entry was removed, is
// therefore accepted from the agent only; otherwise its new flows would be treated as
// ended. Until the agent answers, the target counts as draining.
func (t *Target) TakeRelayed(a Announcement) (Announcement, bool) {
	ends := a.State == Gone && t.State != Gone
	if ends {
		a.State = Draining
	}
	ask := ends || a.Listing != t.Listing
	a.Listing = t.Listing
	return a, ask
}

// Relayed records that messages of a node arrive through relays.
func (v *View) Relayed(ip flow.IPv4) {
	if t, known := v.targets[ip]; known {
		t.relayed = true
	}
	if p, known := v.peers[ip]; known {
		p.relayed = true
	}
}
