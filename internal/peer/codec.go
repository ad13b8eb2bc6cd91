package peer

import (
	"time"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/peer/peerpb"
	"cactuspost.example/internal/structs"
)

func requestToPB(r *Request) *peerpb.AskRequest {
	pb := &peerpb.AskRequest{Job: r.Job.String(), Team: r.Team, WaitMs: r.Wait.Milliseconds()}
	switch r.Action {
	case Submit:
		pb.Action = &peerpb.AskRequest_Submit{Submit: submitToPB(r)}
	case Cancel:
		pb.Action = &peerpb.AskRequest_Cancel{Cancel: &peerpb.Cancel{}}
	default:
		pb.Action = &peerpb.AskRequest_Await{Await: &peerpb.Await{}}
	}
	return pb
}

func submitToPB(r *Request) *peerpb.Submit {
	pb := &peerpb.Submit{
		Service: r.Service, Cores: r.Needs.Cores,
		MemoryMb: r.Needs.MemoryMB, Accelerators: r.Needs.Accelerators,
	}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		pb.Tasks = append(pb.Tasks, &peerpb.Task{Kind: t.Kind, DeclaredUs: t.Declared.Microseconds(), Payload: t.Payload})
	}
	return pb
}

func requestFromPB(pb *peerpb.AskRequest) (*Request, error) {
	id, err := structs.ParseJobID(pb.Job)
	if err != nil {
		return nil, err
	}
	r := &Request{Job: id, Team: pb.Team, Wait: time.Duration(pb.WaitMs) * time.Millisecond}
	switch action := pb.Action.(type) {
	case *peerpb.AskRequest_Submit:
		r.Action = Submit
		submitFromPB(r, action.Submit)
	case *peerpb.AskRequest_Cancel:
		r.Action = Cancel
	case *peerpb.AskRequest_Await:
		r.Action = Await
	default:
		return nil, failure.New(failure.Invalid, failure.Unknown, "forwarded request has no action")
	}
	return r, nil
}

func submitFromPB(r *Request, pb *peerpb.Submit) {
	r.Service = pb.GetService()
	r.Needs = structs.Needs{Cores: pb.GetCores(), MemoryMB: pb.GetMemoryMb(), Accelerators: pb.GetAccelerators()}
	for _, t := range pb.GetTasks() {
		r.Tasks = append(r.Tasks, structs.Task{Kind: t.GetKind(), Declared: microsToDuration(t.GetDeclaredUs()), Payload: t.GetPayload()})
	}
}

func responseToPB(r *Response) *peerpb.AskResponse {
	pb := &peerpb.AskResponse{Incarnation: uint64(r.Incarnation)}
	switch {
	case r.Answer != nil:
		pb.Outcome = &peerpb.AskResponse_Answer{Answer: answerToPB(r.Answer)}
	case r.Refusal != nil:
		pb.Outcome = &peerpb.AskResponse_Refusal{Refusal: failureToPB(r.Refusal)}
	}
	return pb
}

func responseFromPB(id structs.JobID, pb *peerpb.AskResponse) (*Response, error) {
	r := &Response{Incarnation: structs.Incarnation(pb.Incarnation)}
	switch outcome := pb.Outcome.(type) {
	case *peerpb.AskResponse_Answer:
		r.Answer = answerFromPB(id, outcome.Answer)
	case *peerpb.AskResponse_Refusal:
		r.Refusal = failureFromPB(outcome.Refusal)
	}
	if r.Incarnation == id.Owner && r.Answer == nil && r.Refusal == nil {
		return nil, failure.New(failure.Internal, failure.Unknown, "the owner's reply has no outcome")
	}
	return r, nil
}

func answerToPB(a *structs.Answer) *peerpb.Answer {
	return &peerpb.Answer{
		State: uint32(a.State), Results: a.Results, Failure: failureToPB(a.Failure),
		Waiting: int64(a.Waiting), Running: int64(a.Running), Done: int64(a.Done),
	}
}

func answerFromPB(id structs.JobID, pb *peerpb.Answer) *structs.Answer {
	return &structs.Answer{
		ID: id, State: structs.JobState(pb.State), Results: pb.Results, Failure: failureFromPB(pb.Failure),
		Waiting: int(pb.Waiting), Running: int(pb.Running), Done: int(pb.Done),
	}
}

func failureToPB(f *failure.Failure) *peerpb.Failure {
	if f == nil {
		return nil
	}
	return &peerpb.Failure{
		Kind: f.Kind.String(), Run: f.Run.String(), Detail: f.Detail,
		RetryAfterUs: f.RetryAfter.Microseconds(),
	}
}

// failureFromPB decodes a failure. An unknown kind becomes Internal and an unknown
// run state becomes Unknown, which promise the caller the least.
func failureFromPB(pb *peerpb.Failure) *failure.Failure {
	if pb == nil {
		return nil
	}
	f := &failure.Failure{Detail: pb.Detail, RetryAfter: microsToDuration(pb.RetryAfterUs)}
	_ = f.Kind.UnmarshalText([]byte(pb.Kind))
	_ = f.Run.UnmarshalText([]byte(pb.Run))
	return f
}

func microsToDuration(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
