package host

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// readHeaderTimeout and idleTimeout are longer than the time-outs that
	// configurations set for callers, which the host doesn't enforce. If they were
	// shorter, the host could close a connection on which a request is under way.
	readHeaderTimeout = 30 * time.Second
	idleTimeout       = 2 * time.Minute
)

// listeners are the host's HTTP servers.
type listeners struct {
	callers *http.Server
	// auxiliary are the other servers, which stay open until the host stops.
	auxiliary []*http.Server
	logger    *slog.Logger
}

// listen opens the listeners and serves them in group. Those without an address are left
// out.
func (h *Host) listen(ctx context.Context, group *errgroup.Group) (*listeners, error) {
	l := &listeners{logger: h.Logger}
	l.callers = newServer(h.closeWhenLeaving(h.Callers))
	servers := []struct {
		address string
		server  *http.Server
	}{
		{h.Settings.CallerAddress, l.callers},
		{h.Settings.DirectoryAddress, newServer(h.Directory)},
		{h.Settings.ReadyAddress, newServer(h.Readiness)},
	}
	for _, s := range servers {
		if s.address == "" {
			continue
		}
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.address)
		if err != nil {
			l.close()
			return nil, classError.Wrap(err)
		}
		if s.server != l.callers {
			l.auxiliary = append(l.auxiliary, s.server)
		}
		if s.server == l.callers && h.Settings.MaxDescriptors > 0 {
			listener = &limitedListener{
				Listener: listener, limit: int64(callerDescriptorShare * float64(h.Settings.MaxDescriptors)), logger: h.Logger,
			}
		}
		group.Go(func() error {
			if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return classError.Wrap(err)
			}
			return nil
		})
	}
	h.listenMetrics(ctx, group, l)
	return l, nil
}

// listenMetrics serves metrics. If it fails, it logs a warning and the host serves
// its callers without metrics.
func (h *Host) listenMetrics(ctx context.Context, group *errgroup.Group, l *listeners) {
	if h.Metrics == nil || h.Settings.MetricsAddress == "" {
		return
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", h.Settings.MetricsAddress)
	if err != nil {
		h.Logger.LogAttrs(ctx, slog.LevelWarn, "failed to serve metrics", slog.Any("error", err))
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", h.Metrics)
	server := newServer(mux)
	l.auxiliary = append(l.auxiliary, server)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			h.Logger.LogAttrs(ctx, slog.LevelWarn, "failed to serve metrics", slog.Any("error", err))
		}
		return nil
	})
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
}

// closeWhenLeaving asks callers to close their connections once the host is leaving.
func (h *Host) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// shutdown stops accepting callers' connections and waits for requests in flight.
func (l *listeners) shutdown(ctx context.Context) {
	if err := l.callers.Shutdown(ctx); err != nil {
		l.logger.LogAttrs(ctx, slog.LevelWarn, "requests in flight aborted", slog.Any("error", err))
	}
}

func (l *listeners) close() {
	_ = l.callers.Close()
	for _, s := range l.auxiliary {
		_ = s.Close()
	}
}
