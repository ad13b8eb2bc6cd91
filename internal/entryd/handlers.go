package entryd

import (
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/api/operator"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// createJobs serves POST api.JobsPath.
func (f *front) createJobs(ctx *fasthttp.RequestCtx, who principal) {
	request, err := api.DecodeCreate(ctx.PostBody(), f.requestLimits())
	if err != nil {
		f.refuse(ctx, failure.Of(err))
		return
	}
	ids, refusal := f.jobs.create(who.team, request.Service, request.Count)
	if refusal != nil {
		f.refuse(ctx, refusal)
		return
	}
	f.encode(ctx, http.StatusCreated, createAnswer(ids, time.Now()))
}

func createAnswer(ids []structs.JobID, now time.Time) *api.CreateAnswer {
	answer := &api.CreateAnswer{}
	for _, id := range ids {
		answer.IDs = append(answer.IDs, id.String())
	}
	if len(ids) > 0 {
		answer.Lifetime = structs.Millis(ids[0].Expiry - now.UnixMilli())
	}
	return answer
}

// submitNew serves POST api.SubmitPath.
func (f *front) submitNew(ctx *fasthttp.RequestCtx, who principal) {
	submission, wait, refusal := f.readJob(ctx, structs.JobID{}, who)
	if refusal != nil {
		f.refuse(ctx, refusal)
		return
	}
	f.answer(ctx)(f.jobs.submitNew(submission, wait))
}

// putJob serves PUT on a job's path.
func (f *front) putJob(ctx *fasthttp.RequestCtx, who principal) {
	id, refusal := jobID(ctx)
	if refusal != nil {
		f.refuse(ctx, refusal)
		return
	}
	submission, wait, refusal := f.readJob(ctx, id, who)
	if refusal != nil {
		f.refuseUnseen(ctx, refusal)
		return
	}
	f.answer(ctx)(f.jobs.submit(submission, wait))
}

// getJob serves GET on a job's path.
func (f *front) getJob(ctx *fasthttp.RequestCtx, who principal) {
	id, refusal := jobID(ctx)
	if refusal != nil {
		f.refuse(ctx, refusal)
		return
	}
	wait, refusal := waitOf(ctx)
	if refusal != nil {
		f.refuseUnseen(ctx, refusal)
		return
	}
	f.answer(ctx)(f.jobs.await(id, who.team, wait))
}

// deleteJob serves DELETE on a job's path.
func (f *front) deleteJob(ctx *fasthttp.RequestCtx, who principal) {
	id, refusal := jobID(ctx)
	if refusal != nil {
		f.refuse(ctx, refusal)
		return
	}
	f.answer(ctx)(f.jobs.cancel(id, who.team))
}

func (f *front) requestLimits() api.Limits {
	return api.Limits{Body: f.options.limits.MaxBody}
}

// readJob reads the body and the wait of a request that brings tasks.
func (f *front) readJob(ctx *fasthttp.RequestCtx, id structs.JobID, who principal) (*structs.Submission, time.Duration, *failure.Failure) {
	wait, refusal := waitOf(ctx)
	if refusal != nil {
		return nil, 0, refusal
	}
	request, err := api.DecodeJob(ctx.PostBody(), f.requestLimits())
	if err != nil {
		return nil, 0, failure.Of(err)
	}
	submission := request.Submission(id, who.team)
	return &submission, wait, nil
}

func jobID(ctx *fasthttp.RequestCtx) (structs.JobID, *failure.Failure) {
	id, err := structs.ParseJobID(strings.TrimPrefix(string(ctx.Path()), api.JobPath))
	return id, failure.Of(err)
}

func waitOf(ctx *fasthttp.RequestCtx) (time.Duration, *failure.Failure) {
	wait, err := api.ParseWait(string(ctx.QueryArgs().Peek(api.WaitParameter)))
	return wait, failure.Of(err)
}

// answer writes what came of a request about a job.
func (f *front) answer(ctx *fasthttp.RequestCtx) func(*structs.Answer, *failure.Failure) {
	return func(answer *structs.Answer, refusal *failure.Failure) {
		if refusal != nil {
			f.refuse(ctx, refusal)
			return
		}
		body, err := api.EncodeAnswer(*answer)
		f.writeEncoded(ctx, http.StatusOK, body, err)
	}
}

func (f *front) encode(ctx *fasthttp.RequestCtx, status int, form any) {
	body, err := api.Encode(form)
	f.writeEncoded(ctx, status, body, err)
}

func (f *front) writeEncoded(ctx *fasthttp.RequestCtx, status int, body []byte, err error) {
	if err != nil {
		f.refuse(ctx, failure.Of(err))
		return
	}
	f.write(ctx, status, body)
}

// endpoints serves GET api.EndpointsPath.
func (f *front) endpoints(ctx *fasthttp.RequestCtx, _ principal) {
	views, refusal := f.cluster.views()
	if refusal != nil {
		f.refuse(ctx, refusal)
		return
	}
	f.encode(ctx, http.StatusOK, &operator.EndpointsAnswer{Entries: views})
}

// hook serves an operators' path by a function of another part of the daemon.
func (f *front) hook(h Hook) func(*fasthttp.RequestCtx, principal) {
	return func(ctx *fasthttp.RequestCtx, who principal) {
		if h == nil {
			f.refuse(ctx, failure.New(failure.Unavailable, failure.NotRun, "this entry does not serve the path"))
			return
		}
		request := operatorRequest(ctx, who)
		body, refusal := h(request)
		if refusal != nil {
			f.refuse(ctx, refusal)
			return
		}
		f.write(ctx, http.StatusOK, body)
		ctx.SetContentType(request.contentType())
	}
}

func (r *OperatorRequest) contentType() string {
	switch {
	case r.HTML:
		return api.HTMLType + "; charset=utf-8"
	case r.Text:
		return api.TextType
	default:
		return api.JSONType
	}
}

func operatorRequest(ctx *fasthttp.RequestCtx, who principal) OperatorRequest {
	accept := string(ctx.Request.Header.Peek(fasthttp.HeaderAccept))
	r := OperatorRequest{
		Operator: who.operator,
		Method:   string(ctx.Method()),
		Query:    map[string]string{},
		Body:     ctx.PostBody(),
		Text:     accept == api.TextType,
		HTML:     string(ctx.Path()) == api.ReportPath && strings.Contains(accept, api.HTMLType),
	}
	for key, value := range ctx.QueryArgs().All() {
		r.Query[string(key)] = string(value)
	}
	return r
}

// health serves GET api.HealthPath: the process answers and so does its core.
func (f *front) health(ctx *fasthttp.RequestCtx, _ principal) {
	if _, ok := f.calls.probeReadiness(); !ok {
		f.refuse(ctx, failure.New(failure.Unavailable, failure.NotRun, "the dispatcher does not answer"))
		return
	}
	ctx.SetContentType(api.TextType)
	ctx.SetBodyString("ok\n")
}

// ready serves GET api.ReadyPath: the entry takes new submissions.
func (f *front) ready(ctx *fasthttp.RequestCtx, _ principal) {
	if refusal := f.notReady(); refusal != nil {
		f.refuse(ctx, refusal)
		return
	}
	ctx.SetContentType(api.TextType)
	ctx.SetBodyString("ready\n")
}

func (f *front) notReady() *failure.Failure {
	state, ok := f.calls.probeReadiness()
	if !ok {
		return failure.New(failure.Unavailable, failure.NotRun, "the dispatcher does not answer")
	}
	if state.stopping {
		return failure.New(failure.Draining, failure.NotRun, "the entry is leaving")
	}
	if state.configured {
		return nil
	}
	// The revision may have come from an agent, which only the dispatcher sees.
	view, refusal := f.calls.inspect()
	if refusal != nil {
		return refusal
	}
	if view.Revision == 0 {
		return failure.New(failure.NoConfiguration, failure.NotRun, "no configuration is known yet")
	}
	return nil
}
