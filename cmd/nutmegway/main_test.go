package main

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/lab/deployment"
	"github.com/nutmegway/nutmegway/internal/lab/quickstart"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"nutmegway": func() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the commands as a user would. The scripts share one small
// deployment and find its addresses in environment variables.
func TestScripts(t *testing.T) {
	d := startDeployment(t)
	testscript.Run(t, testscript.Params{
		Dir: filepath.Join("testdata", "script"),
		Setup: func(env *testscript.Env) error {
			token := filepath.Join(env.WorkDir, "team.token")
			env.Setenv("NUTMEGWAY_ADMIN", "http://"+d.Nodes[0].AdminAddress)
			env.Setenv("NUTMEGWAY_ENTRY", "http://"+d.Nodes[0].CallerAddress)
			env.Setenv("NUTMEGWAY_TOKEN_FILE", token)
			return os.WriteFile(token, []byte(d.Token+"\n"), tokenFileMode)
		},
	})
}

// startDeployment starts a deployment that runs until the test ends.
func startDeployment(t *testing.T) *deployment.Deployment {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	d := &deployment.Deployment{Shape: quickstart.Shape()}
	ready := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		return d.Run(ctx, func(ctx context.Context) error {
			close(ready)
			<-ctx.Done()
			return nil
		})
	})
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil && ctx.Err() == nil {
			t.Error(err)
		}
	})
	<-ready
	return d
}
