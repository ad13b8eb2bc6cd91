package entryd

import (
	"net/http"
	"strings"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/failure"
)

// access is the kind of token that a route requires.
type access uint8

const (
	// publicAccess requires no token: the platform reads health, readiness and
	// metrics without one.
	publicAccess access = iota
	callerAccess
	operatorAccess
)

// unmatchedRoute is the route label in the metrics of requests that match no
// route.
const unmatchedRoute = "none"

const pprofPath = "/debug/pprof/"

// route serves one method on one path, or on every path that begins with it if
// the path ends in a slash.
type route struct {
	name    string
	method  string
	path    string
	access  access
	handler func(ctx *fasthttp.RequestCtx, sender principal)
}

func (f *frontend) routeTable() []route {
	routes := []route{
		{"create_jobs", http.MethodPost, api.JobsPath, callerAccess, f.createJobs},
		{"submit_job", http.MethodPost, api.SubmitPath, callerAccess, f.submitNew},
		{"put_job", http.MethodPut, api.JobPathPrefix, callerAccess, f.putJob},
		{"get_job", http.MethodGet, api.JobPathPrefix, callerAccess, f.getJob},
		{"delete_job", http.MethodDelete, api.JobPathPrefix, callerAccess, f.deleteJob},
		{"endpoints", http.MethodGet, api.EndpointsPath, operatorAccess, f.endpoints},
		{"get_notes", http.MethodGet, api.NotesPath, operatorAccess, f.operatorRoute(f.options.notes)},
		{"post_notes", http.MethodPost, api.NotesPath, operatorAccess, f.operatorRoute(f.options.notes)},
		{"report", http.MethodGet, api.ReportPath, operatorAccess, f.operatorRoute(f.options.report)},
		{"health", http.MethodGet, api.HealthPath, publicAccess, f.health},
		{"ready", http.MethodGet, api.ReadyPath, publicAccess, f.ready},
		{"metrics", http.MethodGet, api.MetricsPath, publicAccess, f.writeMetrics},
	}
	if f.options.pprof {
		routes = append(routes, route{"pprof", http.MethodGet, pprofPath, operatorAccess, servePprof})
	}
	return routes
}

func servePprof(ctx *fasthttp.RequestCtx, _ principal) { pprofhandler.PprofHandler(ctx) }

// findRoute returns the route of a request, or a failure of kind Invalid.
func (f *frontend) findRoute(ctx *fasthttp.RequestCtx) (*route, *failure.Failure) {
	path := string(ctx.Path())
	method := string(ctx.Method())
	if ctx.IsHead() {
		method = http.MethodGet // the server omits the body of the answer
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
		return nil, failure.New(failure.Invalid, failure.NotRun, "the path does not support this method")
	}
	return nil, failure.New(failure.Invalid, failure.NotRun, "the path does not exist")
}

func (r *route) matches(path string) bool {
	if strings.HasSuffix(r.path, "/") {
		return strings.HasPrefix(path, r.path) && len(path) > len(r.path)
	}
	return path == r.path
}
