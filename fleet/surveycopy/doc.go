// Package surveycopy passes readings of the agents' registry on between balancers of a
// zone, so that the store's calls grow with the zones and not with the balancers.
//
// A reading is a fact of the store: what it listed at a moment. Who passes it on states
// how long ago that was; the receiver counts back from when it asked, so neither clocks
// nor a slow answer make a reading look newer than it is (fleet.Survey). Nobody has to
// pass one on: who gets no answer in time reads the store.
//
// A Reader reads for all who ask at the same time, at most as often as fleet.SurveyPace
// allows, and answers with the last reading in between. Cost: an entry is 12 bytes on the
// way; a receiver that has the same entries already gets none.
package surveycopy
