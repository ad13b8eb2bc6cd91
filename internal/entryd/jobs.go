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

// maxWait is the maximum time for which a request waits for the end of its job.
// It limits how long a request whose caller has disconnected holds resources.
const maxWait = 60 * time.Second

// jobRouter answers requests about jobs. Jobs of this incarnation are handled
// by its dispatcher; requests for other jobs are forwarded to the entries that
// own them.
type jobRouter struct {
	self  structs.Incarnation
	core  *coreClient
	peers *actor.Inbox[peerMessage]
}

// create returns the ids of new jobs.
func (j *jobRouter) create(team, service string, count int) ([]structs.JobID, *failure.Failure) {
	effect := j.core.ask(func(id dispatch.ReplyID) dispatch.Message {
		return &dispatch.CreateJobs{Reply: id, Team: team, Service: service, Count: count}
	}, 0, failure.NotRun)
	switch e := effect.(type) {
	case *dispatch.Created:
		return e.IDs, nil
	case *dispatch.Refused:
		return nil, e.Failure
	default:
		return nil, unexpectedEffect(effect)
	}
}

// submit submits the tasks of a job whose id was created before.
func (j *jobRouter) submit(s *structs.Submission, wait time.Duration) (*structs.Answer, *failure.Failure) {
	return j.route(&peer.Request{
		Job: s.ID, Team: s.Team, Action: peer.Submit, Wait: min(wait, maxWait),
		Service: s.Service, Needs: s.Needs, Tasks: s.Tasks,
	})
}

// submitNew creates a job and submits its tasks. The id is new and unknown to the
// caller, so if the inbox is full, "not run" is the correct run status.
func (j *jobRouter) submitNew(s *structs.Submission, wait time.Duration) (*structs.Answer, *failure.Failure) {
	ids, f := j.create(s.Team, s.Service, 1)
	if f != nil {
		return nil, f
	}
	s.ID = ids[0]
	return j.submitLocal(s, min(wait, maxWait), failure.NotRun)
}

// await returns a job's answer after the job's end, or its current state if the
// job is still open when wait has passed.
func (j *jobRouter) await(id structs.JobID, team string, wait time.Duration) (*structs.Answer, *failure.Failure) {
	return j.route(&peer.Request{Job: id, Team: team, Action: peer.Await, Wait: min(wait, maxWait)})
}

// cancel cancels a job.
func (j *jobRouter) cancel(id structs.JobID, team string) (*structs.Answer, *failure.Failure) {
	return j.route(&peer.Request{Job: id, Team: team, Action: peer.Cancel})
}

// route answers a request if this entry owns the job, and forwards it otherwise.
func (j *jobRouter) route(r *peer.Request) (*structs.Answer, *failure.Failure) {
	if r.Job.Owner == j.self {
		return j.answerLocal(r)
	}
	return forwardToOwner(j.peers, r)
}

// AnswerPeer answers a request that another entry has forwarded. Such a request
// is never forwarded again.
func (j *jobRouter) AnswerPeer(_ context.Context, r *peer.Request) (*structs.Answer, *failure.Failure) {
	r.Wait = min(r.Wait, maxWait)
	return j.answerLocal(r)
}

// answerLocal answers a request about a job of this incarnation. The tasks of the
// job may have run already, so a refusal because of a full inbox has the run
// status Unknown.
func (j *jobRouter) answerLocal(r *peer.Request) (*structs.Answer, *failure.Failure) {
	switch r.Action {
	case peer.Submit:
		s := &structs.Submission{ID: r.Job, Team: r.Team, Service: r.Service, Needs: r.Needs, Tasks: r.Tasks}
		return j.submitLocal(s, r.Wait, failure.Unknown)
	case peer.Cancel:
		return answerFromEffect(j.core.ask(func(id dispatch.ReplyID) dispatch.Message {
			return &dispatch.CancelJob{Reply: id, ID: r.Job, Team: r.Team}
		}, 0, failure.Unknown))
	default:
		return answerFromEffect(j.core.ask(func(id dispatch.ReplyID) dispatch.Message {
			return &dispatch.AwaitJob{Reply: id, ID: r.Job, Team: r.Team, Wait: r.Wait > 0}
		}, r.Wait, failure.Unknown))
	}
}

func (j *jobRouter) submitLocal(s *structs.Submission, wait time.Duration, runWhenFull failure.Run) (*structs.Answer, *failure.Failure) {
	return answerFromEffect(j.core.ask(func(id dispatch.ReplyID) dispatch.Message {
		return &dispatch.SubmitJob{Reply: id, Submission: *s, Wait: wait > 0}
	}, wait, runWhenFull))
}

// answerFromEffect returns the answer or the refusal in an effect.
func answerFromEffect(effect dispatch.Effect) (*structs.Answer, *failure.Failure) {
	switch e := effect.(type) {
	case *dispatch.Answered:
		return &e.Answer, nil
	case *dispatch.Refused:
		return nil, e.Failure
	default:
		return nil, unexpectedEffect(effect)
	}
}
