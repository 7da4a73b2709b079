package soak_test

import (
	"io"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/lab/process"
	"github.com/nutmegway/nutmegway/internal/lab/soak"
)

// TestOneFaultCycle runs one cycle of a fixed seed with real processes. Guarantees with
// a time bound are not asserted here, since the machine may be busy; nutmegway-lab soak
// checks them.
func TestOneFaultCycle(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(process.Build(t.Context(), "../../..", dir, "./cmd/nutmegway"))
	findings, err := soak.Soak{
		Binary: filepath.Join(dir, "nutmegway"), Dir: dir, Duration: 21 * time.Second, Processes: 3, Progress: io.Discard, Seed: 6,
	}.Judge(t.Context())
	is.NoErr(err)
	checked := 0
	for _, f := range findings {
		t.Logf("%+v", f)
		if f.Timed {
			continue
		}
		checked += f.Checked
		is.Equal(f.Broken, 0) // the guarantee holds
	}
	is.True(checked > 0)
}
