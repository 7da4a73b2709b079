package owner_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testTimeout = 30 * time.Second

func TestSamplesReachTheTrainerThroughAnyHost(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := newFixture(t, 3, 2, nil)
	tr := f.trainer("trainer-a")
	groups := makeGroups(4, 40)
	for i, g := range groups {
		tr.host = i % len(f.nodes)
		is.NoErr(tr.post(ctx, "groups", g))
		is.NoErr(tr.post(ctx, "groups", g)) // a repeated submission has no effect
	}
	is.NoErr(tr.readUntil(ctx, 16))
	tr.verify(t, groups)
	is.Equal(tr.cursor, int64(16))
}
