package ingress

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

var headerEnd = []byte("\r\n\r\n")

// defaultMaxHeaderBytes limits the headers when the configuration has no limit.
const defaultMaxHeaderBytes = 16 << 10

// parseRequest parses the request at the beginning of the buffer. It returns the
// request and its size in bytes if it is complete, an HTTP status if it is
// malformed or over the limits, and zero values while more bytes are needed.
func parseRequest(buffered []byte, limits Limits) (int, *fasthttp.Request, int) {
	headerBytes := limits.HeaderBytes
	if headerBytes <= 0 {
		headerBytes = defaultMaxHeaderBytes
	}
	end := bytes.Index(buffered, headerEnd)
	if end > headerBytes || (end < 0 && len(buffered) > headerBytes) {
		return 0, nil, fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	if end < 0 {
		return 0, nil, 0
	}
	source := bytes.NewReader(buffered)
	reader := bufio.NewReaderSize(source, max(end+len(headerEnd), minReaderSize))
	request := &fasthttp.Request{}
	if err := request.Header.Read(reader); err != nil {
		return 0, nil, fasthttp.StatusBadRequest
	}
	if limits.BodyBytes > 0 && request.Header.ContentLength() > limits.BodyBytes {
		return 0, nil, fasthttp.StatusRequestEntityTooLarge
	}
	err := request.ContinueReadBody(reader, limits.BodyBytes, false)
	switch {
	case err == nil:
		return len(buffered) - source.Len() - reader.Buffered(), request, 0
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return 0, nil, fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return 0, nil, 0
	default:
		return 0, nil, fasthttp.StatusBadRequest
	}
}

// minReaderSize is the smallest buffer size of the reader of a request.
const minReaderSize = 4 << 10
