package node

import (
	"net/http"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/httpconn"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
)

const (
	// maxIdleBackendConns is the number of idle connections kept to one backend
	// server.
	maxIdleBackendConns = 64
	idleBackendTimeout  = 30 * time.Second
)

// newBackendClient returns the HTTP client for backend servers. It follows no
// redirects and ignores the proxy settings of the environment. The dialer records in
// the server directory which servers refuse connections.
func newBackendClient(dialer *server.Dialer) *http.Client {
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &httpconn.Transport{Base: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableCompression:  true,
			IdleConnTimeout:     idleBackendTimeout,
			MaxIdleConnsPerHost: maxIdleBackendConns,
		}},
	}
}
