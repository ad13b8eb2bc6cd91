// Package burn keeps the accounts of service levels: how many jobs met their
// service's objective, what made the others miss it, and how tasks fared
// against the ideal.
//
// A Ledger is pure and belongs to one goroutine. It keeps counts in buckets of
// BucketLength over LongWindow, per service and team; its memory is bounded by
// their number. Snapshots of several entries can be added up.
package burn

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// BucketLength is the resolution in time.
	BucketLength = 10 * time.Second
	// ShortWindow and LongWindow are the windows of the burn rates.
	ShortWindow = 5 * time.Minute
	LongWindow  = time.Hour
	// bucketCount covers LongWindow.
	bucketCount = int(LongWindow / BucketLength)
	// ratioScale is the resolution of ratios in histograms.
	ratioScale = 100
	// maxRatio bounds the ratios that are told apart.
	maxRatio = 10_000 * ratioScale
	// maxWaitMicros bounds the waits that are told apart: ten minutes.
	maxWaitMicros = int64(10 * time.Minute / time.Microsecond)
	// histogramDigits is the precision of the histograms in decimal digits.
	histogramDigits = 2
)

// Cause is why a job missed its objective.
type Cause uint8

// The causes.
const (
	// Met is no miss: the job is complete and every task started in time.
	Met Cause = iota
	// Queue is a task that started late, or never, for want of a slot.
	Queue
	// Straggler is a task that ran far longer than its kind.
	Straggler
	// Refused is a job that was refused before anything ran.
	Refused
	// Failed is a task that its endpoint failed.
	Failed
	// EndpointGone is a task whose endpoint or agent went away.
	EndpointGone
	// CauseCount is the number of causes.
	CauseCount
)

var causeNames = [CauseCount]string{"met", "queue", "straggler", "refused", "failed", "endpoint gone"}

// String returns the cause's name.
func (c Cause) String() string { return causeNames[c] }

// Key names an account.
type Key struct {
	Service string `json:"service"`
	Team    string `json:"team"`
}

// Counts has the number of jobs by cause.
type Counts [CauseCount]uint64

// Total returns the sum.
func (c Counts) Total() uint64 {
	sum := uint64(0)
	for _, n := range c {
		sum += n
	}
	return sum
}

// Bad returns the jobs that missed the objective.
func (c Counts) Bad() uint64 { return c.Total() - c[Met] }

// Add adds other to c.
func (c *Counts) Add(other Counts) {
	for i := range c {
		c[i] += other[i]
	}
}

// Ledger holds the accounts of one entry.
type Ledger struct {
	accounts map[Key]*account
}

type account struct {
	buckets [bucketCount]bucket
	// ratios holds response times over the ideal; shortAlone and shortBehind the
	// waits of short tasks while no long task ran, and while one did.
	ratios      *hdrhistogram.Histogram
	shortAlone  *hdrhistogram.Histogram
	shortBehind *hdrhistogram.Histogram
}

type bucket struct {
	// number counts the buckets since the Unix epoch.
	number int64
	counts Counts
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{accounts: map[Key]*account{}} }

func (l *Ledger) account(key Key) *account {
	a := l.accounts[key]
	if a == nil {
		a = &account{
			ratios:      hdrhistogram.New(1, maxRatio, histogramDigits),
			shortAlone:  hdrhistogram.New(1, maxWaitMicros, histogramDigits),
			shortBehind: hdrhistogram.New(1, maxWaitMicros, histogramDigits),
		}
		l.accounts[key] = a
	}
	return a
}

func bucketNumber(now time.Time) int64 { return now.UnixNano() / int64(BucketLength) }

// Job records the end of a job.
func (l *Ledger) Job(now time.Time, key Key, cause Cause) {
	number := bucketNumber(now)
	b := &l.account(key).buckets[number%int64(bucketCount)]
	if b.number != number {
		*b = bucket{number: number}
	}
	b.counts[cause]++
}

// Task records a completed task: the ratio of its response time to the ideal.
func (l *Ledger) Task(key Key, ratio float64) {
	scaled := min(max(int64(ratio*ratioScale), 1), maxRatio)
	_ = l.account(key).ratios.RecordValue(scaled)
}

// ShortStart records the wait of a short task before its start, and whether
// long tasks held slots of its pool then.
func (l *Ledger) ShortStart(key Key, wait time.Duration, behindLong bool) {
	a := l.account(key)
	h := a.shortAlone
	if behindLong {
		h = a.shortBehind
	}
	_ = h.RecordValue(min(max(wait.Microseconds(), 1), maxWaitMicros))
}

// Snapshot is a copy of a ledger that can be sent and added up.
type Snapshot struct {
	Accounts []Account `json:"accounts"`
}

// Account is the copy of one account.
type Account struct {
	Key
	// Buckets are in the order of time; empty ones are left out.
	Buckets []Bucket `json:"buckets"`
	// Histograms are nil while they are empty.
	Ratios      *hdrhistogram.Snapshot `json:"ratios"`
	ShortAlone  *hdrhistogram.Snapshot `json:"short_alone"`
	ShortBehind *hdrhistogram.Snapshot `json:"short_behind"`
}

// Bucket is the copy of one bucket; Number counts buckets since the Unix epoch.
type Bucket struct {
	Number int64  `json:"number"`
	Counts Counts `json:"counts"`
}

// Snapshot copies the ledger as of now.
func (l *Ledger) Snapshot(now time.Time) Snapshot {
	s, _ := l.Page(now, Key{}, len(l.accounts))
	return s
}

// Page copies up to limit accounts whose keys follow the given one, and reports
// whether there are more. The zero key begins.
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
		Ratios: export(a.ratios), ShortAlone: export(a.shortAlone), ShortBehind: export(a.shortBehind),
	}
}

// export copies a histogram without the zeros at its end, which most of it is.
func export(h *hdrhistogram.Histogram) *hdrhistogram.Snapshot {
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
	oldest := bucketNumber(now) - int64(bucketCount) + 1
	var buckets []Bucket
	for _, b := range a.buckets {
		if b.number >= oldest && b.counts.Total() > 0 {
			buckets = append(buckets, Bucket{Number: b.number, Counts: b.counts})
		}
	}
	slices.SortFunc(buckets, func(a, b Bucket) int { return int(a.Number - b.Number) })
	return buckets
}
