package engine

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"time"

	backend "github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

const fetchRetryInterval = 50 * time.Millisecond

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order backend.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		httperror.Write(w, kind.Wrap(kind.BadRequest, err))
		return
	}
	err := e.acceptOrder(order)
	if _, lost := e.faults.take(FaultLoseOrderReply); lost {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		httperror.Write(w, err)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// acceptOrder records the order and, if it is valid, starts to execute it. An invalid
// order is recorded as not accepted. An order that was accepted before is recorded as
// accepted, but not executed again.
func (e *Engine) acceptOrder(order backend.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := order.Fence < e.highestFence()
	err := e.validateOrder(order, stale)
	e.recorder.update(func() {
		e.recorder.orders = append(e.recorder.orders, ReceivedOrder{
			Accepted: err == nil, At: time.Now(), Order: order, Stale: stale,
		})
	})
	if err != nil || e.acceptedOrders[order.ID] {
		return err
	}
	if e.EnforceFence {
		e.status.Fence = order.Fence
	}
	e.acceptedOrders[order.ID] = true
	e.executeOrder(order)
	return nil
}

func (e *Engine) validateOrder(order backend.Order, stale bool) error {
	switch {
	case e.acceptedOrders[order.ID]:
		return nil
	case e.EnforceFence && stale:
		return kind.New(kind.Conflict, "the fencing token %d is lower than the highest one received", order.Fence)
	case !order.Deadline.IsZero() && time.Now().After(order.Deadline):
		return kind.New(kind.DeadlineUnmet, "the order's deadline has passed")
	case order.Kind == backend.OrderLoadVersion && e.status.Loading != 0:
		return kind.New(kind.Conflict, "version %d is being loaded", e.status.Loading).WithRetryAfter(time.Second)
	}
	return nil
}

// highestFence returns the highest fencing token received. It is tracked even if the
// engine does not enforce fencing, so that stale orders are recorded as such.
func (e *Engine) highestFence() int64 {
	var highest int64
	e.recorder.update(func() {
		for _, received := range e.recorder.orders {
			highest = max(highest, received.Order.Fence)
		}
	})
	return highest
}

func (e *Engine) executeOrder(order backend.Order) {
	switch order.Kind {
	case backend.OrderLoadAdapter:
		if !slices.Contains(e.status.Adapters, order.Adapter) {
			e.status.Adapters = append(e.status.Adapters, order.Adapter)
		}
	case backend.OrderLoadModel:
		e.status.Model = order.Model
	case backend.OrderSetRole:
		e.status.Role = order.Role
	case backend.OrderLoadVersion:
		e.status.Loading = order.Version
		started, processCtx := e.status.StartedAt, e.processCtx
		e.loads.Go(func() error {
			err := e.loadVersion(processCtx, order)
			e.finishLoad(started, order, err)
			return nil
		})
	}
}

func (e *Engine) loadVersion(ctx context.Context, order backend.Order) error {
	if err := e.awaitVersion(ctx, order); err != nil {
		return err
	}
	if _, partway := e.faults.take(FaultSwapPartway); partway {
		if err := sleep(ctx, e.SwapTime/2); err != nil {
			return err
		}
		return kind.New(kind.BackendFailed, "loading of version %d failed partway", order.Version)
	}
	return sleep(ctx, e.SwapTime)
}

// awaitVersion waits until the weight store answers and checks that it has the version.
func (e *Engine) awaitVersion(ctx context.Context, order backend.Order) error {
	if e.Weights == nil {
		return nil
	}
	for {
		versions, err := e.Weights.Versions(ctx, order.Model)
		switch {
		case err == nil && slices.ContainsFunc(versions, func(v weightVersion) bool { return v.Number == order.Version }):
			return nil
		case err == nil:
			return kind.New(kind.NotFound, "version %d of model %q is not in the weight store", order.Version, order.Model)
		}
		if err := sleep(ctx, max(fetchRetryInterval, kind.Of(err).RetryAfter)); err != nil {
			return err
		}
	}
}

func (e *Engine) finishLoad(started time.Time, order backend.Order, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.status.StartedAt.Equal(started) {
		return
	}
	e.status.Loading = 0
	if err != nil {
		e.Logger.Info("loading of weight version failed", slog.String("engine", e.ID), slog.String("error", err.Error()))
		return
	}
	e.status.Version = order.Version
	e.cache.clear(e)
	e.recorder.update(func() {
		e.recorder.swaps = append(e.recorder.swaps, Swap{At: time.Now(), Version: order.Version})
	})
}
