package fleet

import "time"

// Snapshot is a snapshot of the agents' registry.
type Snapshot struct {
	// Earliest and Latest bound the time that the snapshot reflects: they are the start and the
	// end of the read. If another node has read the registry, by its own clock, Earliest is
	// at or before the start and Latest at or after the end.
	Earliest, Latest time.Time
	// Revision is the store revision when the read began; zero if unknown.
	Revision int64
	// Agents are the entries, in no order.
	Agents []Entry
}

// SnapshotAt returns a snapshot whose time is known exactly.
func SnapshotAt(at time.Time, agents []Entry) Snapshot {
	return Snapshot{Earliest: at, Latest: at, Agents: agents}
}

// Minimum and maximum time between two reads of the registry. Each page of a read is a
// billed call.
const (
	minSnapshotPause = 400 * time.Millisecond
	maxSnapshotPause = 1600 * time.Millisecond
)

// SnapshotPacer limits the rate of registry reads: while reads follow one another, the pause
// between them doubles up to maxSnapshotPause.
type SnapshotPacer struct {
	beganAt time.Time
	pause   time.Duration
}

// Received records when the read of a received snapshot began. If another node began it before
// the snapshot was requested, the next read may begin sooner as well.
func (p *SnapshotPacer) Received(began time.Time) {
	if began.Before(p.beganAt) {
		p.beganAt = began
	}
}

// ResetPause records that a requested snapshot is not available yet, and resets the pause.
func (p *SnapshotPacer) ResetPause() { p.pause = minSnapshotPause }

// TryBegin reports whether a read may begin now, and records its start if so.
func (p *SnapshotPacer) TryBegin(now time.Time) bool {
	since := now.Sub(p.beganAt)
	if since < p.pause {
		return false
	}
	if since > 2*maxSnapshotPause {
		p.pause = minSnapshotPause
	} else {
		p.pause = min(2*p.pause, maxSnapshotPause)
	}
	p.beganAt = now
	return true
}
