package fleet

import "time"

// Survey is one reading of the agents' registry. When it began may be known only within
// bounds: another node may have read it, by a clock of its own.
type Survey struct {
	// Earliest and Latest bound the moment of which the reading tells.
	Earliest, Latest time.Time
	// Revision is the store's when the reading began; zero where it is not known.
	Revision int64
	// Agents are the entries, in no order.
	Agents []Entry
}

// SurveyAt returns a reading of one moment.
func SurveyAt(at time.Time, agents []Entry) Survey {
	return Survey{Earliest: at, Latest: at, Agents: agents}
}

// Pauses between readings of the registry, each of which is a priced call for every
// page.
const (
	leastSurveyPause = 400 * time.Millisecond
	mostSurveyPause  = 1600 * time.Millisecond
)

// SurveyPace spaces the readings of the registry: while one follows another the pause
// doubles up to the most.
type SurveyPace struct {
	beganAt time.Time
	pause   time.Duration
}

// Got notes when the reading began that was got: one that another node had read before it was
// asked for is out of date sooner.
func (p *SurveyPace) Got(began time.Time) {
	if began.Before(p.beganAt) {
		p.beganAt = began
	}
}

// Pending notes that the reading that was asked for is not there yet.
func (p *SurveyPace) Pending() { p.pause = leastSurveyPause }

// Begin tells whether a reading may begin now, and notes that it does.
func (p *SurveyPace) Begin(now time.Time) bool {
	since := now.Sub(p.beganAt)
	if since < p.pause {
		return false
	}
	if since > 2*mostSurveyPause {
		p.pause = leastSurveyPause
	} else {
		p.pause = min(2*p.pause, mostSurveyPause)
	}
	p.beganAt = now
	return true
}
