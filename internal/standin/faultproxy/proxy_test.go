package faultproxy_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/standin/faultproxy"
)

func TestLinkFaults(t *testing.T) {
	var served atomic.Int64
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		_, _ = io.WriteString(w, "moss") // The write fails only if the client is gone.
	}))
	defer target.Close()
	proxy := &faultproxy.Proxy{Target: target.Listener.Addr().String()}
	is := is.New(t)
	is.NoErr(proxy.Listen())
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return proxy.Run(ctx) })
	client := &http.Client{Timeout: 150 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	tests := []struct {
		fault faultproxy.Fault
		fails bool
		ran   int64
	}{
		{fault: faultproxy.Fault{}, ran: 1},
		{fault: faultproxy.Fault{Refuse: true}, fails: true},
		{fault: faultproxy.Fault{Blackhole: true}, fails: true},
		{fault: faultproxy.Fault{HalfOpen: true}, fails: true, ran: 1},
		{fault: faultproxy.Fault{LoseReply: true}, fails: true, ran: 1},
		{fault: faultproxy.Fault{Delay: time.Millisecond, Bandwidth: 1_000_000}, ran: 1},
	}
	for _, test := range tests {
		before := served.Load()
		proxy.SetFault(test.fault)
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+proxy.Address, nil)
		is.NoErr(err)
		response, err := client.Do(request)
		is.Equal(err != nil, test.fails)
		if err == nil {
			is.NoErr(response.Body.Close())
		}
		is.Equal(served.Load()-before, test.ran)
	}
	cancel()
	is.NoErr(group.Wait())
}

func TestScript(t *testing.T) {
	is := is.New(t)
	text := "0s a delay 5ms\n1s b reset\n2s a clear\n"
	steps, err := faultproxy.ParseScript(strings.NewReader("# links\n" + text))
	is.NoErr(err)
	var b strings.Builder
	for _, step := range steps {
		b.WriteString(step.String() + "\n")
	}
	is.Equal(b.String(), text)
	_, err = faultproxy.ParseScript(strings.NewReader("0s a explode"))
	is.True(err != nil)
	is.Equal(
		faultproxy.RandomScript(1, []string{"a", "b"}, 9, time.Second),
		faultproxy.RandomScript(1, []string{"a", "b"}, 9, time.Second))
}
