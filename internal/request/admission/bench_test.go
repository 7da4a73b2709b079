package admission_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/request/admission"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
)

// BenchmarkQueue adds and ends one request with a backlog of 200 requests of five shares.
func BenchmarkQueue(b *testing.B) {
	var queue admission.Queue
	queue.ObserveLoad(start, engine.Load{Slots: 32})
	for i := range 232 {
		_, _, _ = queue.Push(start, admission.Item{Class: dispatch.ClassRollout, Share: strconv.Itoa(i % 5), Tokens: 100})
	}
	running := queue.Next(start).Start
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		_, _, _ = queue.Push(now, admission.Item{Class: dispatch.ClassRollout, Share: "0", Tokens: 100})
		queue.Done(running[0], admission.Outcome{Duration: time.Second, FirstToken: time.Millisecond, Tokens: 100})
		running = append(running[1:], queue.Next(now).Start...)
	}
}
