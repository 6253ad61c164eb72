// Package measure runs the experiments that decide between policies: plain
// loops over the pure modules with injected time, so that figures do not depend
// on the machine, and cost measurements whose slopes docs/CAPACITY.md uses.
//
// Every run is a subcommand of poppywall-measure.
package measure
