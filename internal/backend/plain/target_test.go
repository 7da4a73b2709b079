package plain_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// TestTargetIsSentUnchanged guards against servers that run requests with another path than the
// caller sent, because the HTTP library escapes it anew or ends it at a number sign.
func TestTargetIsSentUnchanged(t *testing.T) {
	for _, target := range []string{
		"/", "/?", "/plots/12?row=3", "/a%2Fb", "/a%7Cb", "/a|b", "/plots/{12}", "/caf\xc3\xa9", "/caf%C3%A9", "/plots/12#row",
		"/plots/12?row=3#top", "/a^b", "/a[1];x=2", "/a//b", "/a?b?c", "//a/b", "//a/b?c", "//a?", "/a:b", "/*", "/a\"b", "/a\\b", "/a?q=|\"#",
	} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			var got string
			address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				line, err := reader.ReadString('\n')
				if err != nil {
					return
				}
				_, rest, _ := strings.Cut(line, " ")
				got = rest[:max(strings.LastIndex(rest, " HTTP/1.1"), 0)]
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			})
			request := newBooking()
			request.Target = target
			response, err := (&plain.Client{}).Do(t.Context(), address, request)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(got, target)
		})
	}
}

// TestTargetThatIsChangedIsNotSent guards against a path that ends the request line or can only be
// sent in another form.
func TestTargetThatIsChangedIsNotSent(t *testing.T) {
	for _, target := range []string{"/a b", "/a HTTP/1.1\r\nX-Model: other", "/a\x7fb", "/a\tb", "//a|b", "", "a", "*", "http://example/", "/%zz"} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			request := newBooking()
			request.Target = target
			_, err := (&plain.Client{}).Do(t.Context(), "127.0.0.1:1", request)
			is.True(kind.Is(err, kind.BadRequest))
			is.Equal(kind.Of(err).Ran, kind.RanNo)
		})
	}
}
