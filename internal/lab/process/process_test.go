package process_test

import (
	"context"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/lab/process"
)

// TestStandinAsProcess starts, pauses, resumes and terminates a real process.
func TestStandinAsProcess(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(process.Build(t.Context(), "../../..", dir, "./cmd/nutmegway-lab"))
	p := &process.Process{Path: filepath.Join(dir, "nutmegway-lab"), Args: []string{"standin", "plain"}}
	is.NoErr(p.Start(t.Context()))
	address, err := p.Address(t.Context())
	is.NoErr(err)
	get := func(ctx context.Context) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/checks/1", nil)
		is.NoErr(err)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return err
		}
		return response.Body.Close()
	}
	is.NoErr(get(t.Context()))
	is.NoErr(p.Pause())
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	is.True(get(ctx) != nil)
	cancel()
	is.NoErr(p.Resume())
	is.NoErr(get(t.Context()))
	is.NoErr(p.Terminate())
	is.True(get(t.Context()) != nil)
}
