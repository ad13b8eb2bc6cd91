package entryd

import (
	"net/http"
	"strings"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/failure"
)

// access says whose token a route asks for.
type access uint8

const (
	// public routes ask for none: they serve the platform.
	public access = iota
	callers
	operators
)

// unmatched is the route name in metrics of requests that no route serves.
const unmatched = "none"

const pprofPath = "/debug/pprof/"

// route serves one method on one path, or on every path that begins with it if
// the path ends in a slash.
type route struct {
	name   string
	method string
	path   string
	access access
	serve  func(ctx *fasthttp.RequestCtx, who principal)
}

func (f *front) table() []route {
	routes := []route{
		{"create_jobs", http.MethodPost, api.JobsPath, callers, f.createJobs},
		{"submit_job", http.MethodPost, api.SubmitPath, callers, f.submitNew},
		{"put_job", http.MethodPut, api.JobPath, callers, f.putJob},
		{"get_job", http.MethodGet, api.JobPath, callers, f.getJob},
		{"delete_job", http.MethodDelete, api.JobPath, callers, f.deleteJob},
		{"endpoints", http.MethodGet, api.EndpointsPath, operators, f.endpoints},
		{"get_notes", http.MethodGet, api.NotesPath, operators, f.hook(f.options.notes)},
		{"post_notes", http.MethodPost, api.NotesPath, operators, f.hook(f.options.notes)},
		{"report", http.MethodGet, api.ReportPath, operators, f.hook(f.options.report)},
		{"health", http.MethodGet, api.HealthPath, public, f.health},
		{"ready", http.MethodGet, api.ReadyPath, public, f.ready},
		{"metrics", http.MethodGet, api.MetricsPath, public, f.writeMetrics},
	}
	if f.options.pprof {
		routes = append(routes, route{"pprof", http.MethodGet, pprofPath, operators, servePprof})
	}
	return routes
}

func servePprof(ctx *fasthttp.RequestCtx, _ principal) { pprofhandler.PprofHandler(ctx) }

// find returns the route of a request, or a failure of kind Invalid.
func (f *front) find(ctx *fasthttp.RequestCtx) (*route, *failure.Failure) {
	path := string(ctx.Path())
	method := string(ctx.Method())
	if ctx.IsHead() {
		method = http.MethodGet // the server leaves the body out
	}
	known := false
	for i := range f.routes {
		r := &f.routes[i]
		if !r.matches(path) {
			continue
		}
		if r.method == method {
			return r, nil
		}
		known = true
	}
	if known {
		return nil, failure.New(failure.Invalid, failure.NotRun, "the path does not take this method")
	}
	return nil, failure.New(failure.Invalid, failure.NotRun, "there is no such path")
}

func (r *route) matches(path string) bool {
	if strings.HasSuffix(r.path, "/") {
		return strings.HasPrefix(path, r.path) && len(path) > len(r.path)
	}
	return path == r.path
}
