package httpclient

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"cactuspost.example/internal/api/apitest"
	"cactuspost.example/internal/failure"
)

// newCertificate returns a self-signed certificate for 127.0.0.1 and its key, both
// PEM-encoded.
func newCertificate(t *testing.T) (cert, key []byte) {
	is := is.New(t)
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &privateKey.PublicKey, privateKey)
	is.NoErr(err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(privateKey)
	is.NoErr(err)
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})
}

func TestExchangeRejectsUnknownCertificate(t *testing.T) {
	is := is.New(t)
	cert, key := newCertificate(t)
	url, stop := apitest.ServeTLS(func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("hello") }, cert, key)
	defer stop()
	pool := x509.NewCertPool()
	is.True(pool.AppendCertsFromPEM(cert))
	request := Request{Method: http.MethodGet, URL: url, Timeout: time.Minute}
	trusting := New(&tls.Config{RootCAs: pool})
	defer trusting.Close()
	response, err := trusting.Exchange(context.Background(), request)
	is.NoErr(err)
	is.Equal(string(response.Body), "hello")
	_, err = New(nil).Exchange(context.Background(), request)
	is.Equal(failure.Of(err).Kind, failure.Unavailable)
}

func TestExchangeEndsWithContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	release := make(chan struct{})
	url, stop := apitest.Serve(func(*fasthttp.RequestCtx) { cancel(); <-release })
	defer stop()
	defer close(release)
	client := New(nil)
	request := Request{Method: http.MethodPost, URL: url, Timeout: time.Minute}
	_, err := client.Exchange(ctx, request) // the context ends after the request has arrived
	is.True(errors.Is(err, context.Canceled))
	is.Equal(failure.Of(err).Run, failure.Unknown)
	_, err = client.Exchange(ctx, request) // the context has ended, so the request is not sent
	is.Equal(failure.Of(err).Run, failure.NotRun)
}
