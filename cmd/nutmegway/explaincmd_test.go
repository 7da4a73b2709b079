package main

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/entry/host"
	"github.com/nutmegway/nutmegway/platform/platformtest"
)

// testHost is a running host with its log. It uses a stand-in for the platform and
// has one engine and one plain server as backend servers.
type testHost struct {
	caller  platformtest.Caller
	engine  *platformtest.Server
	log     lockedBuffer
	plain   *platformtest.Server
	address string
	stop    func()
}

func freeAddress(t *testing.T) string {
	t.Helper()
	// On 127.0.0.1, a connection of another process could take the port before the
	// test uses it.
	listener, err := net.Listen("tcp", "127.0.9.2:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func startHost(t *testing.T) *testHost {
	t.Helper()
	is := is.New(t)
	store := &platformtest.Store{}
	serve := func(handler http.Handler) string {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	h := &testHost{caller: platformtest.Caller{Host: "example", HTTP: &http.Client{}}}
	h.engine = &platformtest.Server{EventTime: time.Millisecond, Model: "m", Name: "engine", Service: "gen", Slots: 4, Store: &store.Memory}
	h.plain = &platformtest.Server{Name: "record", Service: "app", Slots: 4, Store: &store.Memory}
	for _, s := range []*platformtest.Server{h.engine, h.plain} {
		s.Address = serve(s)
		is.NoErr(s.Start())
	}
	is.NoErr(platformtest.Configure(store, 1, []platformtest.Route{
		{Host: "example", Prefix: "/b/", Service: "gen", Repeat: platformtest.RepeatBatch, Timeout: time.Second},
		{Host: "example", Prefix: "/n/", Service: "app", Repeat: platformtest.RepeatNever, Timeout: 200 * time.Millisecond},
	}, map[string]string{"gen": "m", "app": ""}))
	settings := host.Settings{
		CallerAddress: freeAddress(t), Grace: 8 * time.Second, ID: "h1", PeerAddress: freeAddress(t), ReadyAddress: freeAddress(t),
		StoreAddress: serve(store), Zone: "z",
	}
	h.address = settings.CallerAddress
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return runHost(ctx, "", settings, slog.LevelInfo, &h.log) })
	h.stop = func() {
		cancel()
		is.NoErr(group.Wait())
	}
	for !h.caller.Ready(t.Context(), settings.ReadyAddress) {
		time.Sleep(5 * time.Millisecond) // The time limit of the test run ends a wait that never succeeds.
	}
	return h
}

// explain stops the host and returns the output of the command explain for an ID.
func (h *testHost) explain(t *testing.T, id string) string {
	t.Helper()
	h.stop()
	path := filepath.Join(t.TempDir(), "h1.log")
	is := is.New(t)
	is.NoErr(os.WriteFile(path, []byte(h.log.String()), 0o600))
	var out bytes.Buffer
	is.NoErr(explain(&out, id, []string{path}))
	return out.String()
}

// TestExplainFailedItem checks the log lines of an item that fails on every attempt.
func TestExplainFailedItem(t *testing.T) {
	is := is.New(t)
	h := startHost(t)
	h.engine.InjectFault(platformtest.FaultFail, platformtest.MaxAttempts)
	batch := platformtest.Batch{Groups: 1, ID: "b1", Items: []platformtest.Item{{Body: "3", Group: "g", ID: "i1"}}, MinVersion: 1, Model: "m", Prefix: "/b/"}
	answer, err := h.caller.Submit(t.Context(), h.address, batch)
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusAccepted)
	for {
		page, _, err := h.caller.ReadResults(t.Context(), h.address, "b1", 0)
		is.NoErr(err)
		if len(page.Results) == 1 {
			is.True(!page.Results[0].Completed)
			break
		}
	}
	explained := h.explain(t, "i1")
	is.True(strings.Contains(explained, `"batch accepted" batch=b1`)) // the host that accepted the batch
	is.Equal(strings.Count(explained, "item=i1 batch=b1 server=engine-1 outcome=failed"), platformtest.MaxAttempts)
}

// TestExplainTimedOutRequest checks the log lines of a request to a server that never
// answers.
func TestExplainTimedOutRequest(t *testing.T) {
	is := is.New(t)
	h := startHost(t)
	h.plain.InjectFault(platformtest.FaultHang, 1)
	answer, err := h.caller.Send(t.Context(), h.address, http.MethodPost, "/n/x", "r1", nil)
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusGatewayTimeout) // the request may have run
	explained := h.explain(t, "r1")
	is.True(strings.Contains(explained, `"request not served" request-id=r1`))
	is.True(strings.Contains(explained, "at-servers=1 servers=[record-1]"))
	is.True(strings.Contains(explained, "the deadline passed while the request was at a backend server"))
}
