// Package burn records service levels and computes burn rates: how many jobs met
// their service's objective, why the others missed it, and how the response times
// of tasks compare with the ideal.
//
// A Ledger does no I/O, reads no clock and is owned by one goroutine. For each
// service and team it counts jobs in buckets of BucketLength over LongWindow, so
// its memory is proportional to the number of services and teams. Snapshots of
// several entries can be merged.
package burn

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// BucketLength is the time that one bucket covers.
	BucketLength = 10 * time.Second
	// ShortWindow and LongWindow are the windows over which burn rates are computed.
	ShortWindow = 5 * time.Minute
	LongWindow  = time.Hour
	// bucketCount is the number of buckets in LongWindow.
	bucketCount = int(LongWindow / BucketLength)
	// ratioScale converts ratios to the integers recorded in histograms.
	ratioScale = 100
	// maxScaledRatio is the highest scaled ratio recorded; higher ones count as this.
	maxScaledRatio = 10_000 * ratioScale
	// maxWaitMicros is the longest wait recorded, ten minutes; longer ones count as
	// this.
	maxWaitMicros = int64(10 * time.Minute / time.Microsecond)
	// histogramDigits is the precision of the histograms in significant decimal
	// digits.
	histogramDigits = 2
)

// Cause is the reason why a job missed its objective.
type Cause uint8

// The causes.
const (
	// Met means that the job met its objective: it is complete and every task started
	// in time.
	Met Cause = iota
	// Queue means that a task started late or never because no slot was free.
	Queue
	// Straggler means that a task ran far longer than other tasks of its kind.
	Straggler
	// Refused means that the job was refused before any task ran.
	Refused
	// Failed means that the endpoint reported a task as failed.
	Failed
	// EndpointGone means that the endpoint or the agent of a task was lost.
	EndpointGone
	// CauseCount is the number of causes.
	CauseCount
)

var causeNames = [CauseCount]string{"met", "queue", "straggler", "refused", "failed", "endpoint gone"}

// String returns the cause's name.
func (c Cause) String() string { return causeNames[c] }

// Key identifies an account.
type Key struct {
	Service string `json:"service"`
	Team    string `json:"team"`
}

// Counts holds the number of jobs by cause.
type Counts [CauseCount]uint64

// Total returns the number of jobs.
func (c Counts) Total() uint64 {
	sum := uint64(0)
	for _, n := range c {
		sum += n
	}
	return sum
}

// Bad returns the number of jobs that missed the objective.
func (c Counts) Bad() uint64 { return c.Total() - c[Met] }

// Add adds other to c.
func (c *Counts) Add(other Counts) {
	for i := range c {
		c[i] += other[i]
	}
}

// Ledger holds the accounts of one entry, one for each service and team.
type Ledger struct {
	accounts map[Key]*account
}

type account struct {
	buckets [bucketCount]bucket
	// ratios holds the ratios of response time to the ideal. shortAlone and
	// shortBehind hold the waits of short tasks while no long task ran and while one
	// did.
	ratios      *hdrhistogram.Histogram
	shortAlone  *hdrhistogram.Histogram
	shortBehind *hdrhistogram.Histogram
}

type bucket struct {
	// number is the index of the bucket, counted from the Unix epoch.
	number int64
	counts Counts
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{accounts: map[Key]*account{}} }

func (l *Ledger) account(key Key) *account {
	a := l.accounts[key]
	if a == nil {
		a = &account{
			ratios:      hdrhistogram.New(1, maxScaledRatio, histogramDigits),
			shortAlone:  hdrhistogram.New(1, maxWaitMicros, histogramDigits),
			shortBehind: hdrhistogram.New(1, maxWaitMicros, histogramDigits),
		}
		l.accounts[key] = a
	}
	return a
}

func bucketIndex(now time.Time) int64 { return now.UnixNano() / int64(BucketLength) }

// RecordJob records the end of a job.
func (l *Ledger) RecordJob(now time.Time, key Key, cause Cause) {
	number := bucketIndex(now)
	b := &l.account(key).buckets[number%int64(bucketCount)]
	if b.number != number {
		*b = bucket{number: number}
	}
	b.counts[cause]++
}

// RecordTask records the ratio of a completed task's response time to the ideal.
func (l *Ledger) RecordTask(key Key, ratio float64) {
	scaled := min(max(int64(ratio*ratioScale), 1), maxScaledRatio)
	_ = l.account(key).ratios.RecordValue(scaled)
}

// RecordShortStart records how long a short task waited before it started.
// behindLong reports whether long tasks occupied slots of its pool at that time.
func (l *Ledger) RecordShortStart(key Key, wait time.Duration, behindLong bool) {
	a := l.account(key)
	h := a.shortAlone
	if behindLong {
		h = a.shortBehind
	}
	_ = h.RecordValue(min(max(wait.Microseconds(), 1), maxWaitMicros))
}

// Snapshot is a copy of a ledger that can be serialised and merged.
type Snapshot struct {
	Accounts []Account `json:"accounts"`
}

// Account is a copy of one account.
type Account struct {
	Key
	// Buckets are in chronological order; empty ones are omitted.
	Buckets []Bucket `json:"buckets"`
	// Empty histograms are nil.
	Ratios      *hdrhistogram.Snapshot `json:"ratios"`
	ShortAlone  *hdrhistogram.Snapshot `json:"short_alone"`
	ShortBehind *hdrhistogram.Snapshot `json:"short_behind"`
}

// Bucket is a copy of one bucket. Number is its index, counted from the Unix epoch.
type Bucket struct {
	Number int64  `json:"number"`
	Counts Counts `json:"counts"`
}

// Snapshot copies the ledger as of now.
func (l *Ledger) Snapshot(now time.Time) Snapshot {
	s, _ := l.Page(now, Key{}, len(l.accounts))
	return s
}

// Page copies up to limit accounts whose keys are greater than after, and reports
// whether there are more. The zero key selects the first page.
func (l *Ledger) Page(now time.Time, after Key, limit int) (page Snapshot, more bool) {
	keys := l.keysAfter(after)
	if len(keys) > limit {
		keys = keys[:limit]
		more = true
	}
	for _, key := range keys {
		page.Accounts = append(page.Accounts, l.accounts[key].copy(now, key))
	}
	return page, more
}

func (l *Ledger) keysAfter(after Key) []Key {
	var keys []Key
	for key := range l.accounts {
		if compareKeys(key, after) > 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

func (a *account) copy(now time.Time, key Key) Account {
	return Account{
		Key: key, Buckets: a.copyBuckets(now),
		Ratios: exportHistogram(a.ratios), ShortAlone: exportHistogram(a.shortAlone), ShortBehind: exportHistogram(a.shortBehind),
	}
}

// exportHistogram copies a histogram without its trailing zeros, which make up most
// of it.
func exportHistogram(h *hdrhistogram.Histogram) *hdrhistogram.Snapshot {
	if h.TotalCount() == 0 {
		return nil
	}
	s := h.Export()
	used := len(s.Counts)
	for used > 0 && s.Counts[used-1] == 0 {
		used--
	}
	s.Counts = slices.Clone(s.Counts[:used])
	return s
}

func (a *account) copyBuckets(now time.Time) []Bucket {
	oldest := bucketIndex(now) - int64(bucketCount) + 1
	var buckets []Bucket
	for _, b := range a.buckets {
		if b.number >= oldest && b.counts.Total() > 0 {
			buckets = append(buckets, Bucket{Number: b.number, Counts: b.counts})
		}
	}
	slices.SortFunc(buckets, func(a, b Bucket) int { return int(a.Number - b.Number) })
	return buckets
}
