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
func (f *frontend) createJobs(ctx *fasthttp.RequestCtx, sender principal) {
	request, err := api.DecodeCreate(ctx.PostBody(), f.requestLimits())
	if err != nil {
		f.refuse(ctx, failure.Of(err))
		return
	}
	ids, refusal := f.jobs.create(sender.team, request.Service, request.Count)
	if refusal != nil {
		f.refuse(ctx, refusal)
		return
	}
	f.encodeAndWrite(ctx, http.StatusCreated, newCreateAnswer(ids, time.Now()))
}

func newCreateAnswer(ids []structs.JobID, now time.Time) *api.CreateAnswer {
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
func (f *frontend) submitNew(ctx *fasthttp.RequestCtx, sender principal) {
	submission, wait, refusal := f.decodeSubmission(ctx, structs.JobID{}, sender)
	if refusal != nil {
		f.refuse(ctx, refusal)
		return
	}
	f.jobAnswerWriter(ctx)(f.jobs.submitNew(submission, wait))
}

// putJob serves PUT on a job's path.
func (f *frontend) putJob(ctx *fasthttp.RequestCtx, sender principal) {
	id, refusal := jobIDFromPath(ctx)
	if refusal != nil {
		f.refuse(ctx, refusal)
		return
	}
	submission, wait, refusal := f.decodeSubmission(ctx, id, sender)
	if refusal != nil {
		f.refuseBeforeDispatch(ctx, refusal)
		return
	}
	f.jobAnswerWriter(ctx)(f.jobs.submit(submission, wait))
}

// getJob serves GET on a job's path.
func (f *frontend) getJob(ctx *fasthttp.RequestCtx, sender principal) {
	id, refusal := jobIDFromPath(ctx)
	if refusal != nil {
		f.refuse(ctx, refusal)
		return
	}
	wait, refusal := waitFromQuery(ctx)
	if refusal != nil {
		f.refuseBeforeDispatch(ctx, refusal)
		return
	}
	f.jobAnswerWriter(ctx)(f.jobs.await(id, sender.team, wait))
}

// deleteJob serves DELETE on a job's path.
func (f *frontend) deleteJob(ctx *fasthttp.RequestCtx, sender principal) {
	id, refusal := jobIDFromPath(ctx)
	if refusal != nil {
		f.refuse(ctx, refusal)
		return
	}
	f.jobAnswerWriter(ctx)(f.jobs.cancel(id, sender.team))
}

func (f *frontend) requestLimits() api.Limits {
	return api.Limits{Body: f.options.limits.MaxBody}
}

// decodeSubmission decodes a job from the body of a request, and the wait from
// its query.
func (f *frontend) decodeSubmission(ctx *fasthttp.RequestCtx, id structs.JobID, sender principal) (*structs.Submission, time.Duration, *failure.Failure) {
	wait, refusal := waitFromQuery(ctx)
	if refusal != nil {
		return nil, 0, refusal
	}
	request, err := api.DecodeJob(ctx.PostBody(), f.requestLimits())
	if err != nil {
		return nil, 0, failure.Of(err)
	}
	submission := request.Submission(id, sender.team)
	return &submission, wait, nil
}

func jobIDFromPath(ctx *fasthttp.RequestCtx) (structs.JobID, *failure.Failure) {
	id, err := structs.ParseJobID(strings.TrimPrefix(string(ctx.Path()), api.JobPathPrefix))
	return id, failure.Of(err)
}

func waitFromQuery(ctx *fasthttp.RequestCtx) (time.Duration, *failure.Failure) {
	wait, err := api.ParseWait(string(ctx.QueryArgs().Peek(api.WaitParameter)))
	return wait, failure.Of(err)
}

// jobAnswerWriter returns a function that writes the result of a request about a
// job: the job's state, or the refusal.
func (f *frontend) jobAnswerWriter(ctx *fasthttp.RequestCtx) func(*structs.Answer, *failure.Failure) {
	return func(answer *structs.Answer, refusal *failure.Failure) {
		if refusal != nil {
			f.refuse(ctx, refusal)
			return
		}
		body, err := api.EncodeAnswer(*answer)
		f.writeEncoded(ctx, http.StatusOK, body, err)
	}
}

func (f *frontend) encodeAndWrite(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := api.Encode(value)
	f.writeEncoded(ctx, status, body, err)
}

func (f *frontend) writeEncoded(ctx *fasthttp.RequestCtx, status int, body []byte, err error) {
	if err != nil {
		f.refuse(ctx, failure.Of(err))
		return
	}
	f.writeJSON(ctx, status, body)
}

// endpoints serves GET api.EndpointsPath.
func (f *frontend) endpoints(ctx *fasthttp.RequestCtx, _ principal) {
	views, refusal := f.cluster.views()
	if refusal != nil {
		f.refuse(ctx, refusal)
		return
	}
	f.encodeAndWrite(ctx, http.StatusOK, &operator.EndpointsAnswer{Entries: views})
}

// operatorRoute returns a handler that serves an operators' path by an
// OperatorHandler. If that is nil, all requests to the path are refused.
func (f *frontend) operatorRoute(handler OperatorHandler) func(*fasthttp.RequestCtx, principal) {
	return func(ctx *fasthttp.RequestCtx, sender principal) {
		if handler == nil {
			f.refuse(ctx, failure.New(failure.Unavailable, failure.NotRun, "this entry does not serve this path"))
			return
		}
		request := operatorRequest(ctx, sender)
		body, refusal := handler(request)
		if refusal != nil {
			f.refuse(ctx, refusal)
			return
		}
		f.writeJSON(ctx, http.StatusOK, body)
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

func operatorRequest(ctx *fasthttp.RequestCtx, sender principal) OperatorRequest {
	accept := string(ctx.Request.Header.Peek(fasthttp.HeaderAccept))
	r := OperatorRequest{
		Operator: sender.operator,
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

// health serves GET api.HealthPath. It succeeds when the core actor answers.
func (f *frontend) health(ctx *fasthttp.RequestCtx, _ principal) {
	if _, ok := f.core.probeReadiness(); !ok {
		f.refuse(ctx, failure.New(failure.Unavailable, failure.NotRun, "the dispatcher does not answer"))
		return
	}
	ctx.SetContentType(api.TextType)
	ctx.SetBodyString("ok\n")
}

// ready serves GET api.ReadyPath. It succeeds when the entry accepts new
// submissions.
func (f *frontend) ready(ctx *fasthttp.RequestCtx, _ principal) {
	if refusal := f.readinessFailure(); refusal != nil {
		f.refuse(ctx, refusal)
		return
	}
	ctx.SetContentType(api.TextType)
	ctx.SetBodyString("ready\n")
}

func (f *frontend) readinessFailure() *failure.Failure {
	state, ok := f.core.probeReadiness()
	if !ok {
		return failure.New(failure.Unavailable, failure.NotRun, "the dispatcher does not answer")
	}
	if state.stopping {
		return failure.New(failure.Draining, failure.NotRun, "the entry is leaving")
	}
	if state.configured {
		return nil
	}
	// The configuration may have come from an agent, which only the dispatcher
	// knows of.
	view, refusal := f.core.inspect()
	if refusal != nil {
		return refusal
	}
	if view.Revision == 0 {
		return failure.New(failure.NoConfiguration, failure.NotRun, "no configuration is known yet")
	}
	return nil
}
