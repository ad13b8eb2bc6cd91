// Package measure compares the dispatch policy with baseline policies and with
// an ideal queue on the same arrivals.
//
// The policy runs the production code of packages dispatch and agent. Links,
// clocks and endpoints are simulated on a virtual clock, so that results are
// deterministic and independent of the machine's speed. The cost measurements in
// test/cost use real sockets and the real clock instead.
package measure
