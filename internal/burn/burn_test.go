package burn

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	key  = Key{Service: "recession", Team: "rivage"}
	noon = time.Unix(1_800_000_000, 0)
)

func TestBurnRatesOfBothWindowsAcrossEntries(t *testing.T) {
	is := is.New(t)
	first, second := NewLedger(), NewLedger()
	for range 90 {
		first.RecordJob(noon.Add(-30*time.Minute), key, Met)
	}
	for range 8 {
		second.RecordJob(noon, key, Met)
	}
	second.RecordJob(noon, key, Queue)
	first.RecordJob(noon, key, EndpointGone)
	snapshots := []Snapshot{first.Snapshot(noon), second.Snapshot(noon)}
	levels := Levels(noon, snapshots, map[string]Objective{"recession": {Target: 0.9, ObjectiveMS: 500}})
	is.Equal(len(levels), 1)
	l := levels[0]
	is.Equal(l.Short.Jobs, uint64(10))
	is.Equal(l.Short.Bad, uint64(2))
	is.True(l.Short.BurnRate > 1.99 && l.Short.BurnRate < 2.01) // 20 % missed, 10 % allowed
	is.Equal(l.Long.Jobs, uint64(100))
	is.True(l.Long.BurnRate > 0.19 && l.Long.BurnRate < 0.21)
	is.Equal(l.Long.ByCause, map[string]uint64{"met": 98, "queue": 1, "endpoint gone": 1})
}

func TestOldBucketsAreReused(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.RecordJob(noon, key, Failed)
	nextWindow := noon.Add(LongWindow)
	l.RecordJob(nextWindow, key, Met)
	levels := Levels(nextWindow, []Snapshot{l.Snapshot(nextWindow)}, nil)
	is.Equal(levels[0].Long.Jobs, uint64(1))
	is.Equal(levels[0].Long.Bad, uint64(0))
}

func TestHistogramsSurviveSerialisation(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	for range 98 {
		l.RecordTask(key, 1)
	}
	l.RecordTask(key, 5)
	l.RecordTask(key, 5)
	l.RecordShortStart(key, 2*time.Millisecond, false)
	l.RecordShortStart(key, 40*time.Millisecond, true)
	raw, err := json.Marshal(l.Snapshot(noon))
	is.NoErr(err)
	var s Snapshot
	is.NoErr(json.Unmarshal(raw, &s))
	level := Levels(noon, []Snapshot{s}, nil)[0]
	is.True(level.RatioP50 > 0.98 && level.RatioP50 < 1.02)
	is.True(level.RatioP99 > 4.9 && level.RatioP99 < 5.1)
	is.True(level.ShortAloneP99 > 1.9 && level.ShortAloneP99 < 2.1)
	is.True(level.ShortBehindP99 > 39 && level.ShortBehindP99 < 41)
}

func TestByMinuteEndsWithCurrentMinute(t *testing.T) {
	is := is.New(t)
	now := noon.Truncate(time.Minute).Add(5 * time.Second)
	l := NewLedger()
	for _, age := range []time.Duration{0, 6 * time.Second, 59 * time.Minute, 59*time.Minute + 10*time.Second} {
		l.RecordJob(now.Add(-age), key, Failed)
	}
	minutes := ByMinute(now, Levels(now, []Snapshot{l.Snapshot(now)}, nil)[0].Series)
	is.Equal(len(minutes), 60)
	is.Equal(minutes[59][Failed], uint64(1))
	is.Equal(minutes[58][Failed], uint64(1))
	is.Equal(minutes[0][Failed], uint64(1)) // the job 10 s earlier is outside the window
}
