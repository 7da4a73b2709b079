package loading

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWaitDoesNotBeginAnew reads the same record again under another list of hosts.
func TestWaitDoesNotBeginAnew(t *testing.T) {
	is := is.New(t)
	r := rights{givers: []string{"h1"}, self: "h1", spacing: 4 * time.Second}
	start := time.Unix(1000, 0)
	is.True(r.rank("a"))
	record := Record{AtMillis: start.UnixMilli(), Host: "h2"}
	r.take("a", record, true, start, 1)
	is.True(!r.may("a", start.Add(3*time.Second)))
	is.True(r.isOld("a", 2))
	r.take("a", record, true, start.Add(3*time.Second), 2)
	is.True(!r.isOld("a", 2))
	is.True(r.may("a", start.Add(4*time.Second)))
	record.AtMillis += 3000
	r.take("a", record, true, start.Add(4*time.Second), 3)
	is.True(!r.may("a", start.Add(7*time.Second))) // the other host has ordered since
	is.True(r.may("a", start.Add(8*time.Second)))
}
