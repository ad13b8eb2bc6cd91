package actor

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWaitAboveTheLimitIsReportedAtMostOnceASecond(t *testing.T) {
	is := is.New(t)
	var a WaitAlarm
	now := time.UnixMilli(1_000_000)
	is.True(!a.Due(now, WaitLimit))
	is.True(a.Due(now, WaitLimit+1))
	is.True(!a.Due(now.Add(waitReportInterval-1), WaitLimit+1))
	is.True(a.Due(now.Add(waitReportInterval), WaitLimit+1))
}
