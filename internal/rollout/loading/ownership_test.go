package loading

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUnchangedLastOrderDoesNotRestartSpacing reads the same last order again under
// another epoch of the host list, and then a newer one.
func TestUnchangedLastOrderDoesNotRestartSpacing(t *testing.T) {
	is := is.New(t)
	o := ownership{controllers: []string{"h1"}, self: "h1", spacing: 4 * time.Second}
	start := time.Unix(1000, 0)
	is.True(o.updateOwner("a"))
	last := LastOrder{AtMillis: start.UnixMilli(), Host: "h2"}
	o.setLastOrder("a", last, true, start, 1)
	is.True(!o.mayOrder("a", start.Add(3*time.Second)))
	is.True(o.isStale("a", 2))
	o.setLastOrder("a", last, true, start.Add(3*time.Second), 2)
	is.True(!o.isStale("a", 2))
	is.True(o.mayOrder("a", start.Add(4*time.Second)))
	last.AtMillis += 3000
	o.setLastOrder("a", last, true, start.Add(4*time.Second), 3)
	is.True(!o.mayOrder("a", start.Add(7*time.Second))) // the other host has ordered since
	is.True(o.mayOrder("a", start.Add(8*time.Second)))
}
