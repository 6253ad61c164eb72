// Package operator holds a balancer's copy of the operator's state, which is the configuration
// and the evacuated zones in force, and decides from which node or from the store to fetch a newer
// one.
//
// Algorithm. Versions of the configuration and revisions of the evacuated zones only rise; an
// older one changes nothing, wherever it comes from. Two balancers of each zone watch the
// store. The others learn of a newer configuration from beacons and fetch it at once from a
// balancer that has it; a balancer that watches the store waits peerFetchDelay for its own
// watch first. A gap that lasts for storeReadDelay makes any balancer that has a configuration
// read the store as well.
// A balancer without a configuration fetches the copy of an agent, once the store has had
// copyFetchDelay to answer and while no balancer has a configuration. Evacuated zones come by
// the same watch, and as a whole in the messages of other nodes.
//
// Bounds. A change that any balancer has is in force here one fetch later, or after storeReadDelay
// and a read of the store if no fetch succeeds. A watch whose connection went silent is detected
// early enough for the configuration to be in force within Source.CatchUp. A version that does not
// decode at this balancer is fetched from balancers only once; an agent whose copy is unusable is
// not asked again for failedFetchBackoff. Calls end when the connection is silent for too long, not
// after a total time.
//
// Cost. A decision scans the known balancers once; the choice of an agent's copy scans the
// agents once, at most every copyFetchInterval and only without a configuration. A balancer
// that watches makes one call to the store per change and one per waiting time of a watch; the
// others make no calls.
//
// State does no I/O and takes the time as an argument; it sees other nodes through Fleet. Source
// is the layer around it that calls the store and other nodes, decodes, logs and counts.
package operator
