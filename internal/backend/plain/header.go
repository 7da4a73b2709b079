package plain

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the headers that apply to a single connection.
var hopByHop = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// RemoveHopByHop removes the hop-by-hop headers, including those that the Connection header
// lists.
func RemoveHopByHop(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}
