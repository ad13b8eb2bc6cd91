package measure

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/structs"
)

// smallSize returns a size that takes a few seconds. The clock is virtual, so the
// results are the same on every machine.
func smallSize() Size {
	return Size{Seeds: []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}, Length: 2 * time.Minute}
}

// metricsAt70Percent runs all policies at 70 % load, once for all tests that
// check targets at this load.
var metricsAt70Percent = sync.OnceValue(func() map[string]*responseMetrics { return comparePolicies(Rivage(), 0.70, smallSize()) })

func TestMedianResponse(t *testing.T) {
	is := is.New(t)
	is.True(metricsAt70Percent()[productName].relative[0].median() <= 1.1)
}

func TestTailResponse(t *testing.T) {
	is := is.New(t)
	is.True(metricsAt70Percent()[productName].relative[1].median() <= 1.5)
}

func TestMessagesWasted(t *testing.T) {
	is := is.New(t)
	is.True(metricsAt70Percent()[productName].wasted.median() <= 0.2)
}

func TestResponseIsBetterThanBaselines(t *testing.T) {
	is := is.New(t)
	metrics := metricsAt70Percent()
	own := metrics[productName]
	for _, b := range baselines() {
		if b.name == idealName {
			continue
		}
		is.True(own.quantiles[0].median() < metrics[b.name].quantiles[0].median()) // p50
		is.True(own.quantiles[2].median() < metrics[b.name].quantiles[2].median()) // p99
	}
}

func TestRunsAreRepeatable(t *testing.T) {
	is := is.New(t)
	size := Size{Seeds: []uint64{4}, Length: 10 * time.Second}
	is.Equal(comparePolicies(Rivage(), 0.95, size), comparePolicies(Rivage(), 0.95, size))
}

func TestCrest(t *testing.T) {
	is := is.New(t)
	d := Rivage()
	names, teams := crestTeams()
	s := defaultSetup()
	s.teams = teams
	s.service.StartObjective = structs.Millis(crestObjective.Milliseconds())
	f := &crestMetrics{}
	for _, seed := range smallSize().Seeds[:3] {
		jobs := newGenerator(seed, &d, defaultKinds()).generate(&d, names, []phase{{crestBefore, baseLoad}, {crestLength, crestLoad}, {crestAfter, baseLoad}})
		f.record(runPolicy(namedPolicy{productName, productPolicy(s)}, d, seed, jobs, nil), teams)
	}
	is.True(f.useful.median() >= 95)
	is.True(f.recovery.median() <= 2)
	is.Equal(f.late.median(), 0.0)
	for i := range f.refusedStarted {
		is.Equal(f.refusedStarted[i], 0.0)
		is.Equal(f.noRetry[i], 0.0)
	}
}

func TestWrongDeclaredTimesChangeNothing(t *testing.T) {
	is := is.New(t)
	size := Size{Seeds: []uint64{1}}
	c := namedPolicy{productName, productPolicy(defaultSetup("counter", "records"))}
	right := measureBlocking(Rivage(), blockingCases()[0], declarationModes()[0], c, size)
	for _, wrong := range declarationModes()[1:] {
		is.Equal(measureBlocking(Rivage(), blockingCases()[0], wrong, c, size), right)
	}
}

func TestShortBehindLong(t *testing.T) {
	is := is.New(t)
	c := namedPolicy{productName, productPolicy(defaultSetup("counter", "records"))}
	f := measureBlocking(Rivage(), blockingCases()[0], declarationModes()[0], c, Size{Seeds: []uint64{1}})
	is.True(f.ratio.median() <= 1.5)
	is.True(f.batchLoss.median() <= 10)
}

func TestNoTaskStartsTwiceUnderFaults(t *testing.T) {
	is := is.New(t)
	for _, k := range faults() {
		f := &faultMetrics{}
		f.run(Rivage(), 1, k)
		is.Equal(f.startedTwice.median(), 0.0)
		is.Equal(f.startsAfterLeave.median(), 0.0)
		is.True(f.lostAfter.median() <= 1)
	}
}
