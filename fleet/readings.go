package fleet

import (
	"encoding/binary"
	"math"
	"time"
)

// Readings are what an agent observed of its target's work. All are zero while nothing
// was observed, and from a node that does not send them.
type Readings struct {
	// Wait is how long a new request would wait for a slot, whole milliseconds.
	Wait time.Duration
	// Each is the mean time between two answers of the target when it is fully used,
	// Took that from a request's delivery to its answer; tenths of a millisecond.
	Each, Took time.Duration
	// Overloaded targets have more to do than they can answer, and it does not pass:
	// they take only requests that can meet their objective.
	Overloaded bool
}

// spareTook is how many times the mean time to an answer has to be left before the
// objective: with work that is spread by half of its mean one request of twenty
// takes as long.
const spareTook = 2

// InTime tells whether a request that began so long ago and waits for Wait would be answered
// within its objective.
func (r Readings) InTime(age, objective time.Duration) bool {
	return age+r.Wait+spareTook*r.Took <= objective
}

// readingsWire is the layout of readings. It follows its own length, so that a node
// passes over what later versions append to it.
type readingsWire struct {
	WaitMillis, EachTenths, TookTenths uint16
	Overloaded                         uint8
}

// readingsLen is the encoded length of the readings.
const readingsLen = 7

// readingsUnit is the step of an observed time on the wire.
const readingsUnit = 100 * time.Microsecond

func (r Readings) append(b []byte) []byte {
	return appendFixed(append(b, readingsLen), readingsWire{
		WaitMillis: steps(r.Wait, time.Millisecond),
		EachTenths: steps(r.Each, readingsUnit), TookTenths: steps(r.Took, readingsUnit),
		Overloaded: bit(r.Overloaded),
	})
}

// steps rounds a time down to whole units of it, the most that fit for those beyond.
func steps(d, unit time.Duration) uint16 { return uint16(min(max(d/unit, 0), math.MaxUint16)) }

// decodeReadings reads the last part of a message. Readings that are shorter than
// those known here are none.
func decodeReadings(b []byte) (Readings, error) {
	if len(b) == 0 || int(b[0]) != len(b)-1 {
		return Readings{}, ErrMalformed
	}
	var w readingsWire
	if _, err := binary.Decode(b[1:], binary.BigEndian, &w); err != nil {
		return Readings{}, nil
	}
	return Readings{
		Wait: time.Duration(w.WaitMillis) * time.Millisecond,
		Each: time.Duration(w.EachTenths) * readingsUnit, Took: time.Duration(w.TookTenths) * readingsUnit,
		Overloaded: w.Overloaded == 1,
	}, nil
}
