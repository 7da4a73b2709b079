package main

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/platform"
)

const hostSettings = `{"node":"n1","zone":"z","listen":{"front":"127.0.0.1:8144"},"platform":{"address":"127.0.0.1:8142"}}`

// lockedBuffer is a buffer that several goroutines may write concurrently.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// TestReload sends SIGHUP with a changed and with an invalid settings file. Neither
// may end the process.
func TestReload(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "node.json")
	write := func(text string) { is.NoErr(os.WriteFile(path, []byte(text), 0o600)) }
	write(hostSettings)
	inForce, err := platform.LoadSettings(path)
	is.NoErr(err)
	var out lockedBuffer
	logger := slog.New(slog.NewTextHandler(&out, nil))
	reloaded := make(chan struct{})
	stop := onReload(func() {
		logChangedSettings(path, inForce, logger)
		reloaded <- struct{}{}
	})
	defer stop()
	hangUp := func() {
		is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
		<-reloaded
	}
	write(strings.Replace(hostSettings, "8142", "8143", 1))
	hangUp()
	is.True(strings.Contains(out.String(), "changed-at-next-start=[store-address]"))
	write("{")
	hangUp()
	is.True(strings.Contains(out.String(), "current settings stay in force"))
}

func TestMetricsAddress(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "node.json")
	is.NoErr(os.WriteFile(path, []byte(hostSettings), 0o600))
	settings, err := platform.LoadSettings(path)
	is.NoErr(err)
	is.Equal(metricsAddress(settings, 9464), "127.0.0.1:9464")
	is.Equal(metricsAddress(settings, 0), "")
	settings.CallerAddress = ""
	is.Equal(metricsAddress(settings, 9464), "") // a host without a listener for callers serves no metrics
}
