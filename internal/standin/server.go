package standin

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"cactuspost.example/internal/table"
)

// Paths to inject faults and to read counts, for tests and manual trials.
const (
	// FaultsPath returns the faults on GET and replaces them on PUT.
	FaultsPath = "/faults"
	// CountsPath returns the counts on GET.
	CountsPath = "/counts"
)

const (
	// maxRequestSize limits the body of a commit, in bytes.
	maxRequestSize  = 8 << 20
	shutdownTimeout = 5 * time.Second
)

// Server serves a Table over HTTP.
type Server struct {
	table    *Table
	http     *fasthttp.Server
	listener net.Listener
	done     chan struct{}
}

// Serve starts to serve the table on address, such as "127.0.0.1:0". It returns
// the listener's error if it cannot listen there.
func Serve(t *Table, address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s := &Server{table: t, listener: listener, done: make(chan struct{})}
	s.http = &fasthttp.Server{Handler: s.handle, MaxRequestBodySize: maxRequestSize, CloseOnShutdown: true}
	go s.run()
	return s, nil
}

func (s *Server) run() {
	defer close(s.done)
	// Serve returns an error only after the listener was closed.
	_ = s.http.Serve(s.listener)
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and waits until it has ended. It does not close the
// table.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = s.http.ShutdownWithContext(ctx)
	<-s.done
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "GET " + table.RowPath:
		s.row(ctx)
	case "GET " + table.ListPath:
		s.list(ctx)
	case "POST " + table.CommitPath:
		s.commit(ctx)
	case "GET " + FaultsPath:
		writeJSON(ctx, fasthttp.StatusOK, s.table.Faults())
	case "PUT " + FaultsPath:
		s.setFaults(ctx)
	case "GET " + CountsPath:
		writeJSON(ctx, fasthttp.StatusOK, s.table.Counts())
	default:
		writeJSON(ctx, fasthttp.StatusNotFound, table.Refusal{Detail: "no such path or method"})
	}
}

func (s *Server) row(ctx *fasthttp.RequestCtx) {
	known := knownVersion(ctx)
	row, changed, err := s.table.GetChanged(ctx, string(ctx.QueryArgs().Peek("key")), known)
	switch {
	case err != nil:
		writeError(ctx, err)
	case changed && row.Exists():
		ctx.Response.Header.Set(fasthttp.HeaderETag, strconv.Quote(strconv.FormatUint(row.Version, 10)))
		writeJSON(ctx, fasthttp.StatusOK, row)
	case row.Exists():
		ctx.SetStatusCode(fasthttp.StatusNotModified)
	default:
		writeJSON(ctx, fasthttp.StatusNotFound, table.Refusal{Detail: "no such row"})
	}
}

// knownVersion returns the version in the If-None-Match header, or zero if there
// is none or it is malformed.
func knownVersion(ctx *fasthttp.RequestCtx) uint64 {
	text := strings.Trim(string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)), `"`)
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return version
}

func (s *Server) list(ctx *fasthttp.RequestCtx) {
	rows, err := s.table.List(ctx, string(ctx.QueryArgs().Peek("prefix")))
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, table.ListAnswer{Rows: rows})
}

func (s *Server) commit(ctx *fasthttp.RequestCtx) {
	var request table.CommitRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		writeJSON(ctx, fasthttp.StatusBadRequest, table.Refusal{Detail: err.Error()})
		return
	}
	version, err := s.table.Commit(ctx, request.Operations)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, table.CommitAnswer{Version: version})
}

func (s *Server) setFaults(ctx *fasthttp.RequestCtx) {
	var faults Faults
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		writeJSON(ctx, fasthttp.StatusBadRequest, table.Refusal{Detail: err.Error()})
		return
	}
	s.table.SetFaults(faults)
	writeJSON(ctx, fasthttp.StatusOK, faults)
}

// writeError answers with the status code for err. For a *table.UnknownOutcomeError
// it closes the connection without an answer, to simulate a lost answer.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	var conflict *table.ConflictError
	var lost *table.UnknownOutcomeError
	var invalid *table.InvalidError
	switch {
	case errors.As(err, &conflict):
		writeJSON(ctx, fasthttp.StatusConflict, table.Refusal{
			Detail: conflict.Error(), Key: conflict.Key, Expected: conflict.Expected, Present: conflict.Present,
		})
	case errors.As(err, &lost):
		closeWithoutResponse(ctx)
	case errors.As(err, &invalid):
		writeJSON(ctx, fasthttp.StatusBadRequest, table.Refusal{Detail: invalid.Detail})
	default:
		writeJSON(ctx, fasthttp.StatusServiceUnavailable, table.Refusal{Detail: err.Error()})
	}
}

func closeWithoutResponse(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) { _ = conn.Close() })
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}
