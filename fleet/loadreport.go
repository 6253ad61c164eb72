package fleet

import (
	"encoding/binary"
	"math"
	"time"
)

// LoadReport is the load of a target as its agent measured it. All fields are zero before the
// first measurement, and for a node that sends no load report.
type LoadReport struct {
	// QueueDelay is the time that a new request would wait for a slot, in whole milliseconds.
	QueueDelay time.Duration
	// AnswerInterval is the mean time between two answers of the target when it is fully used.
	// ResponseTime is the mean time from the delivery of a request to its answer. Both are sent
	// in tenths of a millisecond.
	AnswerInterval, ResponseTime time.Duration
	// Overloaded targets have an active overload: they persistently receive more requests
	// than they can answer, and take only requests that can meet their objective.
	Overloaded bool
}

// responseTimeFactor is how many mean response times must remain before the objective for a
// request to be expected to meet it. If the standard deviation of the response time is half of its
// mean, one request in twenty takes that long.
const responseTimeFactor = 2

// MeetsObjective reports whether a request of the given age, which still has to wait for a slot,
// would be answered within its objective.
func (r LoadReport) MeetsObjective(age, objective time.Duration) bool {
	return age+r.QueueDelay+responseTimeFactor*r.ResponseTime <= objective
}

// loadReportWire is the encoding of a load report. It is preceded by its length, so that a
// node skips fields that later versions append.
type loadReportWire struct {
	QueueDelayMillis, AnswerIntervalTenths, ResponseTimeTenths uint16
	Overloaded                                                 uint8
}

// loadReportLen is the encoded length of a load report.
const loadReportLen = 7

// loadReportUnit is the unit of measured times in an encoded load report.
const loadReportUnit = 100 * time.Microsecond

func (r LoadReport) append(b []byte) []byte {
	return appendFixed(append(b, loadReportLen), loadReportWire{
		QueueDelayMillis:     wholeUnits(r.QueueDelay, time.Millisecond),
		AnswerIntervalTenths: wholeUnits(r.AnswerInterval, loadReportUnit), ResponseTimeTenths: wholeUnits(r.ResponseTime, loadReportUnit),
		Overloaded: bit(r.Overloaded),
	})
}

// wholeUnits returns a duration in whole units, rounded down and limited to the range of a
// uint16.
func wholeUnits(d, unit time.Duration) uint16 { return uint16(min(max(d/unit, 0), math.MaxUint16)) }

// decodeLoadReport decodes the last part of an announcement. A load report that is shorter
// than loadReportLen decodes as an empty one.
func decodeLoadReport(b []byte) (LoadReport, error) {
	if len(b) == 0 || int(b[0]) != len(b)-1 {
		return LoadReport{}, ErrMalformed
	}
	var w loadReportWire
	if _, err := binary.Decode(b[1:], binary.BigEndian, &w); err != nil {
		return LoadReport{}, nil
	}
	return LoadReport{
		QueueDelay:     time.Duration(w.QueueDelayMillis) * time.Millisecond,
		AnswerInterval: time.Duration(w.AnswerIntervalTenths) * loadReportUnit, ResponseTime: time.Duration(w.ResponseTimeTenths) * loadReportUnit,
		Overloaded: w.Overloaded == 1,
	}, nil
}
