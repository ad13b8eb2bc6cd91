package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/peer/peerpb"
	"cactuspost.example/internal/peer/peerpb/peerpbconnect"
	"cactuspost.example/internal/structs"
)

// RequestHandler handles the requests of other entries.
type RequestHandler interface {
	// AnswerPeer handles a request for a job that this incarnation owns. It returns
	// either an answer or a refusal, and never forwards the request.
	AnswerPeer(ctx context.Context, r *Request) (*structs.Answer, *failure.Failure)
	// InspectPeer returns the entry's state for operators, encoded as JSON, or nil
	// if it is not available.
	InspectPeer(ctx context.Context) []byte
	// AccountPeer returns the entry's service level accounts, encoded as JSON, or
	// nil if they are not available.
	AccountPeer(ctx context.Context) []byte
}

// NewHandler returns the HTTP handler for the requests of other entries. The reply
// to a request for a job of another incarnation has no outcome.
func NewHandler(self structs.Incarnation, handler RequestHandler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerpbconnect.NewJobsHandler(&service{self: self, handler: handler},
		connect.WithReadMaxBytes(MaxMessageBytes), connect.WithSendMaxBytes(MaxMessageBytes)))
	return mux
}

type service struct {
	self    structs.Incarnation
	handler RequestHandler
}

// Ask handles a forwarded request of a caller.
func (s *service) Ask(ctx context.Context, r *connect.Request[peerpb.AskRequest]) (*connect.Response[peerpb.AskResponse], error) {
	request, err := requestFromPB(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	response := &Response{Incarnation: s.self}
	if request.Job.Owner == s.self {
		response.Answer, response.Refusal = s.handler.AnswerPeer(ctx, request)
	}
	return connect.NewResponse(responseToPB(response)), nil
}

// Inspect returns the entry's state for operators.
func (s *service) Inspect(ctx context.Context, _ *connect.Request[peerpb.InspectRequest]) (*connect.Response[peerpb.InspectResponse], error) {
	response := &peerpb.InspectResponse{Incarnation: uint64(s.self), View: s.handler.InspectPeer(ctx)}
	return connect.NewResponse(response), nil
}

// Account returns the entry's service level accounts.
func (s *service) Account(ctx context.Context, _ *connect.Request[peerpb.AccountRequest]) (*connect.Response[peerpb.AccountResponse], error) {
	response := &peerpb.AccountResponse{Incarnation: uint64(s.self), Accounts: s.handler.AccountPeer(ctx)}
	return connect.NewResponse(response), nil
}
