package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cactuspost.example/internal/structs"
)

// loadDriver drives a core with many workers and checks nothing.
type loadDriver struct {
	core  *Core
	now   time.Time
	reply ReplyID
	// outstanding holds the unfinished grants, oldest first.
	outstanding []sentGrant
}

type sentGrant struct {
	link  LinkID
	grant structs.Grant
}

func newLoadDriver(workers, teams int) *loadDriver {
	l := &loadDriver{core: New(Options{Self: structs.Peer{Incarnation: 9}, Tuning: Tuning{MaxJobs: 10_000_000, MaxWaitingBytes: 1 << 40}}), now: time.UnixMilli(1_000_000)}
	doc := testDocument()
	service := doc.Services["s"]
	service.StartObjective = 10_000_000
	service.MaxTaskBytes = 1000
	service.Lifetime = 3_600_000
	doc.Services["s"] = service
	for i := range teams {
		doc.Teams[fmt.Sprint("t", i)] = structs.Team{Quotas: map[string]float64{"s": 1}}
	}
	l.step(&Configure{Document: doc})
	for link := LinkID(1); link <= LinkID(workers); link++ {
		hello := &structs.Hello{Endpoint: fmt.Sprint("w", link), Incarnation: structs.Incarnation(link), Connection: 1, Session: 1, Pool: "p", Slots: 8}
		l.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Hello: hello}})
		l.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Offered: structs.Credits{Any: 8}}})
	}
	return l
}

func (l *loadDriver) step(m Message) {
	l.core.Step(l.now, m)
	l.core.Flush(l.now)
	for _, e := range l.core.Effects() {
		send, ok := e.(*Send)
		if !ok {
			continue
		}
		for _, g := range send.Message.Grants {
			l.outstanding = append(l.outstanding, sentGrant{send.Link, g})
		}
	}
}

func (l *loadDriver) submit(team string, tasks int, payload int) {
	l.core.Step(l.now, &CreateJobs{Reply: 1, Team: team, Service: "s", Count: 1})
	id := l.core.Effects()[0].(*Created).IDs[0]
	s := structs.Submission{ID: id, Team: team, Service: "s"}
	for range tasks {
		s.Tasks = append(s.Tasks, structs.Task{Kind: "k", Payload: make([]byte, payload)})
	}
	l.reply++
	l.step(&SubmitJob{Reply: l.reply, Submission: s})
}

func (l *loadDriver) finishOldest() {
	oldest := l.outstanding[0]
	l.outstanding = l.outstanding[1:]
	result := structs.Result{Grant: oldest.grant.ID, Payload: []byte("r"), RunTime: 100 * time.Millisecond}
	l.step(&AgentMessage{Link: oldest.link, Message: &structs.FromAgent{Results: []structs.Result{result}, Offered: structs.Credits{Any: 1}}})
}

// BenchmarkTask measures the cost of one task in the core, from acceptance to
// result, while half of the slots are busy.
func BenchmarkTask(b *testing.B) {
	for _, workers := range []int{11, 50, 200, 780} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchTasks(b, newLoadDriver(workers, 1), 1) })
	}
	for _, teams := range []int{1, 10, 50, 100} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) { benchTasks(b, newLoadDriver(50, teams), teams) })
	}
}

func benchTasks(b *testing.B, l *loadDriver, teams int) {
	const tasksPerJob = 10
	for n := 0; len(l.outstanding) < len(l.core.sessions)*4; n++ {
		l.submit(fmt.Sprint("t", n%teams), tasksPerJob, 100)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if i%tasksPerJob == 0 {
			l.now = l.now.Add(time.Millisecond)
			l.submit(fmt.Sprint("t", i/tasksPerJob%teams), tasksPerJob, 100)
		}
		l.finishOldest()
	}
}

// BenchmarkWaiting reports the memory used per waiting task.
func BenchmarkWaiting(b *testing.B) {
	for _, tasks := range []int{1000, 10_000, 50_000, 200_000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			for range b.N {
				before := heapAlloc()
				l := newLoadDriver(11, 1)
				for range tasks / 100 {
					l.submit("t0", 100, 100)
				}
				b.ReportMetric(float64(heapAlloc()-before)/float64(tasks), "B/waiting-task")
				runtime.KeepAlive(l)
			}
		})
	}
}

// BenchmarkAtRest reports the memory used per idle worker and per task of jobs that
// have ended.
func BenchmarkAtRest(b *testing.B) {
	for _, workers := range []int{11, 50, 200, 780} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for range b.N {
				before := heapAlloc()
				l := newLoadDriver(workers, 1)
				b.ReportMetric(float64(heapAlloc()-before)/float64(workers), "B/worker")
				runtime.KeepAlive(l)
			}
		})
	}
	b.Run("ended-jobs", func(b *testing.B) {
		for range b.N {
			const jobs = 2000
			l := newLoadDriver(11, 1)
			before := heapAlloc()
			for range jobs {
				l.submit("t0", 10, 100)
				for len(l.outstanding) > 0 {
					l.finishOldest()
				}
			}
			b.ReportMetric(float64(heapAlloc()-before)/float64(jobs*10), "B/ended-task")
			runtime.KeepAlive(l)
		}
	})
}

func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
