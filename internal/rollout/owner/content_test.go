package owner_test

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// TestFinishedGroupIsRegeneratedAfterContentLoss crashes every host that holds
// the contents of finished groups, before the trainer has acknowledged them with
// its cursor. A trainer that reads them again must get samples that are generated
// anew.
func TestFinishedGroupIsRegeneratedAfterContentLoss(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := newFixture(t, 2, 2, nil)
	first := f.trainer("trainer-a")
	groups := makeGroups(4, 40)
	for _, g := range groups {
		is.NoErr(first.post(ctx, "groups", g))
	}
	is.NoErr(first.readUntil(ctx, 16))
	for _, n := range f.nodes {
		f.kill(n)
	}
	f.addNode(t.Context(), t, len(f.nodes))
	// The restarted trainer has lost its samples and reads from position 0.
	restarted := f.trainer("trainer-a")
	is.NoErr(restarted.readUntil(ctx, 16))
	restarted.verify(t, groups)
}
