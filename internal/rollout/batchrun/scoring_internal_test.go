package batchrun

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/request/poison"
)

// switchedQuarantine refuses all content while it is set.
type switchedQuarantine bool

func (q *switchedQuarantine) Admit(context.Context, uint64) (poison.Admission, error) {
	return poison.Admission{}, nil
}
func (*switchedQuarantine) RecordResponse(uint64) {}
func (q *switchedQuarantine) Refuses(uint64) bool { return bool(*q) }

// TestRewardCallIsNotTriedTogetherWithPoison guards against sound reward calls that are tried again
// at the moment at which the content that ended their servers is tried too, and ends them again.
func TestRewardCallIsNotTriedTogetherWithPoison(t *testing.T) {
	is := is.New(t)
	quarantine := switchedQuarantine(true)
	r := &Runner{Quarantine: &quarantine}
	pending, now := &pendingScore{}, time.Now()
	is.True(r.isHeldBack(pending, now))
	quarantine = false
	is.True(r.isHeldBack(pending, now.Add(900*time.Millisecond)))
	is.True(!r.isHeldBack(pending, now.Add(3*time.Second)))
	is.True(!r.isHeldBack(&pendingScore{}, now)) // one that wasn't refused doesn't wait
}
