package host

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/request/intake"
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
	l.callers = h.newServer(h.closeWhenLeaving(h.Callers))
	servers := []struct {
		address string
		server  *http.Server
	}{
		{h.Settings.CallerAddress, l.callers},
		{h.Settings.DirectoryAddress, h.newServer(h.Directory)},
		{h.Settings.ReadyAddress, h.newServer(h.Readiness)},
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
		part := auxiliaryDescriptorShare
		if s.server == l.callers {
			part = callerDescriptorShare
		}
		listener = h.measure(listener, part)
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
	server := h.newServer(mux)
	listener = h.measure(listener, auxiliaryDescriptorShare)
	l.auxiliary = append(l.auxiliary, server)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			h.Logger.LogAttrs(ctx, slog.LevelWarn, "failed to serve metrics", slog.Any("error", err))
		}
		return nil
	})
}

// measure returns a listener whose connections share the host's memory for callers, and take at
// most a part of its file descriptors.
func (h *Host) measure(listener net.Listener, part float64) net.Listener {
	return &intake.Listener{Listener: listener, Budget: h.intake, MaxConnections: h.Settings.descriptors(part)}
}

// measurePeers does the same for connections of other hosts, of which only the number counts.
func (h *Host) measurePeers(listener net.Listener) net.Listener {
	return &intake.Listener{
		Listener: listener, Budget: h.intake, MaxConnections: h.Settings.descriptors(peerDescriptorShare), Unmeasured: true,
	}
}

func (h *Host) newServer(handler http.Handler) *http.Server {
	server := &http.Server{
		Handler: handler, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
	h.intake.Configure(server)
	return server
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
