package entryd

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/logging"
)

func TestLateCoreActorIsLoggedAtMostOnceASecondAndMeasured(t *testing.T) {
	is := is.New(t)
	var out, text bytes.Buffer
	inbox := actor.NewInbox[coreMessage](8)
	var got dispatch.AbandonReply
	a := newCoreActor(&fakeCore{step: func(m dispatch.Message) []dispatch.Effect {
		got = *m.(*dispatch.AbandonReply)
		inbox.TrySend(stopCore{})
		return nil
	}}, inbox, newProgress(time.Now()), logging.New(&out, event.Info), nil)
	set := metrics.NewSet()
	a.waits = newCoreWaits(set)
	now := time.Now()
	a.Handle(now, busyTick{sentAt: now.Add(-actor.WaitLimit)})
	a.Handle(now, busyTick{sentAt: now.Add(-250 * time.Millisecond)})
	a.recordWait(now.Add(600*time.Millisecond), 250*time.Millisecond)
	a.recordWait(now.Add(1200*time.Millisecond), 250*time.Millisecond)
	is.Equal(strings.Count(out.String(), `"event":4033,"part":"core","wait_ms":250,"limit_ms":100,"queued":0}`), 2)
	is.Equal(strings.Count(out.String(), "\n"), 2)

	left := make(chan time.Time, 1)
	left <- now.Add(-time.Hour) // when the front end noticed
	done := make(chan dispatch.Effect)
	go func() { done <- (&coreClient{inbox: inbox}).awaitUntil(7, make(chan dispatch.Effect), left) }()
	actor.Run(t.Context(), inbox, time.Hour, a)
	<-done
	is.Equal(got, dispatch.AbandonReply{Reply: 7, At: now.Add(-time.Hour)})
	set.WritePrometheus(&text)
	is.True(strings.Contains(text.String(), "cactuspost_core_wait_seconds_count 4\n"))
	is.True(strings.Contains(text.String(), "cactuspost_core_caller_left_seconds_sum 3600"))
}
