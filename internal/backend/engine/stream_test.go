package engine

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"

	"go.opentelemetry.io/otel/trace/noop"
)

// FuzzStream reads arbitrary bytes as an answer. Whatever an engine sends, Next must return
// only chunks of the request, and must repeat the error that ended the stream.
func FuzzStream(f *testing.F) {
	f.Add([]byte("data: {\"request_id\":\"a\",\"choices\":[{\"text\":\"x\"}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"request_id\":\"b\",\"choices\":[{\"text\":\"x\"}]}\n\n"))
	f.Add([]byte("event: error\ndata: {\"error\":{\"kind\":\"overloaded\",\"ran\":\"no\"}}\n\n"))
	f.Add([]byte("data: {\n\n: comment\nretry: 1\n"))
	f.Fuzz(func(t *testing.T, answer []byte) {
		response := &http.Response{Body: io.NopCloser(bytes.NewReader(answer))}
		s := newStream(Client{}, "a", response, func() {}, noop.Span{})
		defer s.stopReader()
		chunk, err := s.Next()
		for ; err == nil; chunk, err = s.Next() {
			if chunk.ID != "a" {
				t.Fatalf("Next returned a chunk of request %q, want only \"a\"", chunk.ID)
			}
		}
		if _, again := s.Next(); !errors.Is(again, err) && again.Error() != err.Error() {
			t.Fatalf("Next returned error %v and then %v, want the same error again", err, again)
		}
	})
}
