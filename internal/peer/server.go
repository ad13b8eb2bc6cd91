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

// RequestHandler carries out a request for a job that this incarnation owns. It
// returns an answer or a refusal, and neither passes the request on.
type RequestHandler interface {
	AnswerPeer(ctx context.Context, r *Request) (*structs.Answer, *failure.Failure)
	// InspectPeer returns the state for operators in its JSON form, or nothing
	// if it can't be had.
	InspectPeer(ctx context.Context) []byte
	// AccountPeer returns the accounts of service levels in the same way.
	AccountPeer(ctx context.Context) []byte
}

// NewHandler returns the HTTP handler of an entry for other entries. Requests
// for jobs of another incarnation get a reply without an outcome.
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

// Ask implements the generated service interface.
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

// Inspect implements the generated service interface.
func (s *service) Inspect(ctx context.Context, _ *connect.Request[peerpb.InspectRequest]) (*connect.Response[peerpb.InspectResponse], error) {
	response := &peerpb.InspectResponse{Incarnation: uint64(s.self), View: s.handler.InspectPeer(ctx)}
	return connect.NewResponse(response), nil
}

// Account implements the generated service interface.
func (s *service) Account(ctx context.Context, _ *connect.Request[peerpb.AccountRequest]) (*connect.Response[peerpb.AccountResponse], error) {
	response := &peerpb.AccountResponse{Incarnation: uint64(s.self), Accounts: s.handler.AccountPeer(ctx)}
	return connect.NewResponse(response), nil
}
