// Package measure compares the dispatch policy with its baselines and with an
// ideal queue, on the same arrivals and in the same run.
//
// The policy is the real code of the packages dispatch and agent. Links, clocks
// and endpoints are small fakes on a virtual clock, so that a run is repeatable
// and takes no time from the machine. Only the cost measures use real sockets
// and the real clock.
package measure
