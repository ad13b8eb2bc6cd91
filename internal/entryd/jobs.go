package entryd

import (
	"context"
	"time"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/peer"
	"cactuspost.example/internal/structs"
)

// maxWait bounds how long a request waits for its job's end. A caller that went
// away meanwhile holds nothing for longer than this.
const maxWait = 60 * time.Second

// jobs answers requests about jobs for every front end: those of this
// incarnation by its dispatcher, the others by their owners.
type jobs struct {
	self  structs.Incarnation
	calls *calls
	peers *actor.Inbox[peerMessage]
}

// create issues ids of new jobs.
func (j *jobs) create(team, service string, count int) ([]structs.JobID, *failure.Failure) {
	effect := j.calls.ask(func(id dispatch.ReplyID) dispatch.Message {
		return &dispatch.CreateJobs{Reply: id, Team: team, Service: service, Count: count}
	}, 0, failure.NotRun)
	switch e := effect.(type) {
	case *dispatch.Created:
		return e.IDs, nil
	case *dispatch.Refused:
		return nil, e.Failure
	default:
		return nil, unexpected(effect)
	}
}

// submit brings the tasks of a job whose id the caller got before.
func (j *jobs) submit(s *structs.Submission, wait time.Duration) (*structs.Answer, *failure.Failure) {
	return j.answer(&peer.Request{
		Job: s.ID, Team: s.Team, Action: peer.Submit, Wait: min(wait, maxWait),
		Service: s.Service, Needs: s.Needs, Tasks: s.Tasks,
	})
}

// submitNew creates a job and brings its tasks. Nobody knows the id before the
// tasks are sent, so that a refusal for want of room is truly "not run".
func (j *jobs) submitNew(s *structs.Submission, wait time.Duration) (*structs.Answer, *failure.Failure) {
	ids, f := j.create(s.Team, s.Service, 1)
	if f != nil {
		return nil, f
	}
	s.ID = ids[0]
	return j.submitOwn(s, min(wait, maxWait), failure.NotRun)
}

// await asks for a job's answer.
func (j *jobs) await(id structs.JobID, team string, wait time.Duration) (*structs.Answer, *failure.Failure) {
	return j.answer(&peer.Request{Job: id, Team: team, Action: peer.Await, Wait: min(wait, maxWait)})
}

// cancel withdraws a job.
func (j *jobs) cancel(id structs.JobID, team string) (*structs.Answer, *failure.Failure) {
	return j.answer(&peer.Request{Job: id, Team: team, Action: peer.Cancel})
}

func (j *jobs) answer(r *peer.Request) (*structs.Answer, *failure.Failure) {
	if r.Job.Owner == j.self {
		return j.answerOwn(r)
	}
	return passOn(j.peers, r)
}

// AnswerPeer answers a request that another entry passed on. It is never passed
// on again.
func (j *jobs) AnswerPeer(_ context.Context, r *peer.Request) (*structs.Answer, *failure.Failure) {
	r.Wait = min(r.Wait, maxWait)
	return j.answerOwn(r)
}

// answerOwn answers for a job of this incarnation. The job may be a known one
// whose tasks have run, so no refusal for want of room says "not run".
func (j *jobs) answerOwn(r *peer.Request) (*structs.Answer, *failure.Failure) {
	switch r.Action {
	case peer.Submit:
		s := &structs.Submission{ID: r.Job, Team: r.Team, Service: r.Service, Needs: r.Needs, Tasks: r.Tasks}
		return j.submitOwn(s, r.Wait, failure.Unknown)
	case peer.Cancel:
		return answerOf(j.calls.ask(func(id dispatch.ReplyID) dispatch.Message {
			return &dispatch.CancelJob{Reply: id, ID: r.Job, Team: r.Team}
		}, 0, failure.Unknown))
	default:
		return answerOf(j.calls.ask(func(id dispatch.ReplyID) dispatch.Message {
			return &dispatch.AwaitJob{Reply: id, ID: r.Job, Team: r.Team, Wait: r.Wait > 0}
		}, r.Wait, failure.Unknown))
	}
}

func (j *jobs) submitOwn(s *structs.Submission, wait time.Duration, whenFull failure.Run) (*structs.Answer, *failure.Failure) {
	return answerOf(j.calls.ask(func(id dispatch.ReplyID) dispatch.Message {
		return &dispatch.SubmitJob{Reply: id, Submission: *s, Wait: wait > 0}
	}, wait, whenFull))
}

func answerOf(effect dispatch.Effect) (*structs.Answer, *failure.Failure) {
	switch e := effect.(type) {
	case *dispatch.Answered:
		return &e.Answer, nil
	case *dispatch.Refused:
		return nil, e.Failure
	default:
		return nil, unexpected(effect)
	}
}
