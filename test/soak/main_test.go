// Package soak runs the node's processes on a stand-in of the platform, injects
// random faults, and checks what callers and workers observe.
package soak

import (
	"flag"
	"os"
	"testing"
	"time"

	"cactuspost.example/test/cluster"
)

var (
	seedCount     = flag.Int("soak.seeds", 1, "number of seeds to run")
	firstSeed     = flag.Uint64("soak.first", 1, "first seed")
	length        = flag.Duration("soak.length", 20*time.Second, "time with faults for each seed")
	keep          = flag.String("soak.keep", "", "folder for the logs of runs that fail")
	keepAll       = flag.Bool("soak.keepall", false, "keep the logs of the runs that pass, too")
	entries       = flag.Int("soak.entries", 3, "number of entries")
	agents        = flag.Int("soak.agents", 6, "number of agents")
	callers       = flag.Int("soak.callers", 12, "number of callers; 2 for each agent use about half of the capacity")
	workerCPU     = flag.Uint("soak.cpu", 16_000, "capacity of each worker in thousandths of a core; tasks take 1,000 to 1,900")
	timeout       = flag.Duration("soak.timeout", requestTimeout, "deadline of a request; long tasks are as much longer as it exceeds 2 s")
	idleGaps      = flag.Bool("soak.idlegaps", false, "let most callers submit jobs in bursts, so that links go idle")
	killAll       = flag.Bool("soak.killall", true, "kill all processes at once after the other faults")
	faultless     = flag.Bool("soak.faultless", false, "inject no fault but the planned stop at the end")
	quotaTime     = flag.Duration("soak.quotatime", 25*time.Millisecond, "longest time for which a process with a quota runs")
	quotaRest     = flag.Duration("soak.quotarest", 120*time.Millisecond, "longest time for which a process with a quota is suspended; below 400 ms")
	quotaFaults   = flag.Float64("soak.quotafaults", defaultQuotaShare, "share of the faults that are a quota, in a run with bursts")
	burst         = flag.Int("soak.burst", 0, "give processes a quota of time, with a burst of that many jobs each")
	heldRequests  = flag.Float64("soak.heldrequests", 0, "share of the faults that hold back what clients send to an entry")
	lateRequests  = flag.Float64("soak.laterequests", 0, "share of the jobs of which an earlier request arrives late at another entry, with the end of its connection")
	breakShare    = flag.Float64("soak.breakshare", defaultBreakShare, "share of the requests whose connection breaks, with -soak.brokenclients")
	brokenClients = flag.Bool("soak.brokenclients", false, "let clients break connections and send the job again to another entry")
	spacing       = flag.Duration("soak.spacing", 1500*time.Millisecond, "longest time between the starts of two faults")
)

// node is the path of the binary under test, which is built once.
var node string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(cluster.RunTests(m, func(folder string) (err error) {
		node, err = cluster.BuildNode(folder)
		return err
	}))
}
