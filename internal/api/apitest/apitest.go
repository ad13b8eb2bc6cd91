// Package apitest serves the HTTP interface on loopback addresses for tests of its
// clients.
package apitest

import (
	"net"

	"github.com/valyala/fasthttp"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/failure"
)

// Serve starts a server and returns its base URL. stop ends the server and waits
// for its end. Serve panics if it can't listen on a loopback address.
func Serve(handler fasthttp.RequestHandler) (url string, stop func()) {
	listener := listen()
	server := &fasthttp.Server{Handler: handler}
	return "http://" + listener.Addr().String(), run(listener, server.Serve)
}

// ServeTLS is like Serve, but over HTTPS with a certificate and key in PEM.
func ServeTLS(handler fasthttp.RequestHandler, cert, key []byte) (url string, stop func()) {
	listener := listen()
	server := &fasthttp.Server{Handler: handler}
	return "https://" + listener.Addr().String(), run(listener, func(l net.Listener) error {
		return server.ServeTLSEmbed(l, cert, key)
	})
}

// ClosedURL returns a base URL that refuses connections.
func ClosedURL() string {
	listener := listen()
	defer listener.Close()
	return "http://" + listener.Addr().String()
}

// WriteFailure writes a failure as the answer to a request.
func WriteFailure(ctx *fasthttp.RequestCtx, f *failure.Failure) {
	status, body, retryAfter := api.EncodeFailure(f)
	if retryAfter != "" {
		ctx.Response.Header.Set(api.RetryAfterHeader, retryAfter)
	}
	ctx.SetStatusCode(status)
	ctx.SetBody(body)
}

// DropConnection closes the connection of a received request without an answer.
func DropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

func listen() net.Listener {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return listener
}

// run serves in a goroutine of its own until stop closes the listener.
func run(listener net.Listener, serve func(net.Listener) error) (stop func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = serve(listener)
	}()
	return func() { _ = listener.Close(); <-done }
}
