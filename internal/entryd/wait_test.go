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

func TestLongWaitInTheInboxIsLoggedAndMeasured(t *testing.T) {
	is := is.New(t)
	var out, text bytes.Buffer
	inbox := actor.NewInbox[coreMessage](8)
	a := newCoreActor(&fakeCore{}, inbox, logging.New(&out, event.Info), nil)
	set := metrics.NewSet()
	a.waits = newCoreWaits(set)
	now := time.Now()
	a.Handle(now, busyTick{sentAt: now.Add(-actor.WaitLimit)})
	is.Equal(out.Len(), 0)
	is.True(inbox.TrySend(dropReadiness{}))
	for range 2 {
		a.Handle(now, busyTick{sentAt: now.Add(-250 * time.Millisecond)})
	}
	is.Equal(strings.Count(out.String(), "\n"), 1)
	is.True(strings.Contains(out.String(), `"event":4033,"part":"core","wait_ms":250,"limit_ms":100,"queued":1}`))
	set.WritePrometheus(&text)
	is.True(strings.Contains(text.String(), "cactuspost_core_wait_seconds_count 3\n"))
}

func TestCoreLearnsWhenTheFrontEndNoticedThatTheCallerLeft(t *testing.T) {
	is := is.New(t)
	inbox := actor.NewInbox[coreMessage](8)
	var got dispatch.AbandonReply
	a := newCoreActor(&fakeCore{step: func(m dispatch.Message) []dispatch.Effect {
		got = *m.(*dispatch.AbandonReply)
		inbox.TrySend(stopCore{})
		return nil
	}}, inbox, logging.Discard(), nil)
	set := metrics.NewSet()
	a.waits = newCoreWaits(set)
	left := make(chan time.Time, 1)
	at := time.Now().Add(-time.Hour)
	left <- at
	done := make(chan dispatch.Effect)
	go func() { done <- (&coreClient{inbox: inbox}).awaitUntil(7, make(chan dispatch.Effect), left) }()
	actor.Run(t.Context(), inbox, time.Hour, a)
	<-done
	is.Equal(got, dispatch.AbandonReply{Reply: 7, At: at})
	var text bytes.Buffer
	set.WritePrometheus(&text)
	is.True(strings.Contains(text.String(), "cactuspost_core_caller_left_seconds_sum 3600"))
}
