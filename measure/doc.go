// Package measure contains the simulations that compare policies and the cost
// measurements that docs/CAPACITY.md extrapolates from. The simulations run the
// modules that do no I/O on simulated time, so their results do not depend on
// the machine.
//
// Each simulation and measurement is a subcommand of poppywall-measure.
package measure
