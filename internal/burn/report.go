package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Level is the service level of one service for one team.
type Level struct {
	Key
	// Target is the fraction of jobs that should meet the objective. Zero means that
	// the configuration has no such service; burn rates are then meaningless.
	Target float64 `json:"target"`
	// ObjectiveMS is the longest time that a task should wait for its start.
	ObjectiveMS int64 `json:"objective_ms"`
	// Short and Long are the results over ShortWindow and LongWindow.
	Short Window `json:"short_window"`
	Long  Window `json:"long_window"`
	// Series holds the counts of the long window by bucket.
	Series []Bucket `json:"series"`
	// RatioP50 and RatioP99 are percentiles of the ratio of response time to the
	// ideal.
	RatioP50 float64 `json:"response_over_ideal_p50"`
	RatioP99 float64 `json:"response_over_ideal_p99"`
	// ShortAloneP99 and ShortBehindP99 are waits of short tasks in milliseconds while
	// no long task ran and while one did. Zero means that there was no such task.
	ShortAloneP99  float64 `json:"short_alone_wait_p99_ms"`
	ShortBehindP99 float64 `json:"short_behind_long_wait_p99_ms"`
}

// Window summarises the jobs that ended within a window of time.
type Window struct {
	Jobs uint64 `json:"jobs"`
	Bad  uint64 `json:"bad"`
	// BurnRate is the rate at which the error budget is consumed. It is 1 if the
	// budget is used up exactly as fast as the target allows.
	BurnRate float64 `json:"burn_rate"`
	// BudgetLeft is the unused fraction of the window's error budget. It is negative
	// if the target was missed in the window.
	BudgetLeft float64           `json:"budget_left"`
	ByCause    map[string]uint64 `json:"by_cause"`
}

// Objective is the service-level objective of a service.
type Objective struct {
	Target      float64 `json:"target"`
	ObjectiveMS int64   `json:"objective_ms"`
}

// Levels merges the snapshots of all entries and returns the level of each service
// and team, sorted by name.
func Levels(now time.Time, snapshots []Snapshot, objectives map[string]Objective) []Level {
	var levels []Level
	for key, accounts := range accountsByKey(snapshots) {
		// Accounts are merged one key at a time because the histograms of all keys
		// together are large.
		m := newMergedAccount(key)
		for _, a := range accounts {
			m.add(a)
		}
		levels = append(levels, m.level(now, objectives[key.Service]))
	}
	slices.SortFunc(levels, func(a, b Level) int { return compareKeys(a.Key, b.Key) })
	return levels
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Team, b.Team))
}

// ByMinute sums a series by minute over the long window. The current minute is the
// last element.
func ByMinute(now time.Time, series []Bucket) []Counts {
	minutes := make([]Counts, LongWindow/time.Minute)
	newest := now.UnixNano() / int64(time.Minute)
	for _, b := range series {
		age := newest - b.Number*int64(BucketLength)/int64(time.Minute)
		if age >= 0 && age < int64(len(minutes)) {
			minutes[int64(len(minutes))-1-age].Add(b.Counts)
		}
	}
	return minutes
}

// mergedAccount is the sum of the accounts of all entries for one key.
type mergedAccount struct {
	key                             Key
	buckets                         map[int64]Counts
	ratios, shortAlone, shortBehind *hdrhistogram.Histogram
}

func accountsByKey(snapshots []Snapshot) map[Key][]*Account {
	all := map[Key][]*Account{}
	for _, s := range snapshots {
		for i := range s.Accounts {
			a := &s.Accounts[i]
			all[a.Key] = append(all[a.Key], a)
		}
	}
	return all
}

func newMergedAccount(key Key) *mergedAccount {
	return &mergedAccount{
		key:         key,
		buckets:     map[int64]Counts{},
		ratios:      hdrhistogram.New(1, maxScaledRatio, histogramDigits),
		shortAlone:  hdrhistogram.New(1, maxWaitMicros, histogramDigits),
		shortBehind: hdrhistogram.New(1, maxWaitMicros, histogramDigits),
	}
}

func (m *mergedAccount) add(a *Account) {
	for _, b := range a.Buckets {
		counts := m.buckets[b.Number]
		counts.Add(b.Counts)
		m.buckets[b.Number] = counts
	}
	mergeHistogram(m.ratios, a.Ratios)
	mergeHistogram(m.shortAlone, a.ShortAlone)
	mergeHistogram(m.shortBehind, a.ShortBehind)
}

func mergeHistogram(into *hdrhistogram.Histogram, from *hdrhistogram.Snapshot) {
	if from != nil {
		into.Merge(hdrhistogram.Import(from))
	}
}

func (m *mergedAccount) level(now time.Time, o Objective) Level {
	l := Level{Key: m.key, Target: o.Target, ObjectiveMS: o.ObjectiveMS}
	for number, counts := range m.buckets {
		l.Series = append(l.Series, Bucket{Number: number, Counts: counts})
	}
	slices.SortFunc(l.Series, func(a, b Bucket) int { return cmp.Compare(a.Number, b.Number) })
	l.Short = summarise(now, l.Series, ShortWindow, o.Target)
	l.Long = summarise(now, l.Series, LongWindow, o.Target)
	l.RatioP50 = float64(m.ratios.ValueAtQuantile(50)) / ratioScale
	l.RatioP99 = float64(m.ratios.ValueAtQuantile(99)) / ratioScale
	l.ShortAloneP99 = p99Millis(m.shortAlone)
	l.ShortBehindP99 = p99Millis(m.shortBehind)
	return l
}

func p99Millis(h *hdrhistogram.Histogram) float64 {
	return float64(h.ValueAtQuantile(99)) / 1000
}

func summarise(now time.Time, series []Bucket, length time.Duration, target float64) Window {
	oldest := bucketIndex(now.Add(-length))
	var sum Counts
	for _, b := range series {
		if b.Number > oldest {
			sum.Add(b.Counts)
		}
	}
	w := Window{Jobs: sum.Total(), Bad: sum.Bad(), ByCause: map[string]uint64{}, BudgetLeft: 1}
	for cause, n := range sum {
		if n > 0 {
			w.ByCause[Cause(cause).String()] = n
		}
	}
	if w.Jobs > 0 && target < 1 {
		w.BurnRate = float64(w.Bad) / float64(w.Jobs) / (1 - target)
		w.BudgetLeft = 1 - w.BurnRate
	}
	return w
}
