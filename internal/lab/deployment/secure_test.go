package deployment

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/base/authority"
	"github.com/nutmegway/nutmegway/internal/fleet/datagram"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/lab/process"
)

// foreignID is the id of a node whose certificate and keys belong to another
// deployment.
const foreignID = "entry-foreign"

// processLog collects the logs of several processes.
type processLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *processLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *processLog) contains(part string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Contains(l.text.Bytes(), []byte(part))
}

// TestProcessesWithTLS runs entry hosts as processes that authenticate each other,
// checks that a node with foreign credentials can't join them, and reads the exported
// trace.
func TestProcessesWithTLS(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(process.Build(t.Context(), "../../..", dir, "./cmd/nutmegway"))
	own, other := newPeerFiles(t), newPeerFiles(t)
	log := &processLog{}
	traces := filepath.Join(dir, "spans.json")
	d := &Deployment{
		Binary: filepath.Join(dir, "nutmegway"),
		ExtraSettings: func(id string) string {
			if id == foreignID {
				return other.settings(t, id)
			}
			return own.settings(t, id) + fmt.Sprintf("[trace]\nexporter = file\nfile = %s\nratio = 1\n", traces)
		},
		Dir:        dir,
		ProcessLog: log,
		Shape:      Brazos(),
	}
	d.Shape.Engines, d.Shape.Nodes, d.Shape.Plains = 1, 2, 1
	err := d.Run(t.Context(), func(ctx context.Context) error {
		if err := complete(ctx, d); err != nil {
			return err
		}
		foreign := &Node{ID: foreignID, Zone: d.Shape.Zones[0], deployment: d}
		if err := foreign.Start(ctx); err != nil {
			return err
		}
		for _, reason := range []string{`reason="no valid certificate"`, `reason="no valid key"`} {
			err := poll(ctx, "refuse the foreign node: "+reason, func() bool { return log.contains(reason) })
			if err != nil {
				return err
			}
		}
		status, err := d.Admin(d.Nodes[0]).Status(ctx, "")
		if err != nil {
			return err
		}
		for _, m := range status.Members {
			is.True(m.ID != foreignID || m.State != string(member.StateAlive)) // the foreign node is not a member
		}
		for _, node := range d.Nodes {
			node.Drain()
		}
		return nil
	})
	is.NoErr(err)
	spans, err := os.ReadFile(traces)
	is.NoErr(err)
	for _, name := range []string{"POST /v1/completions", "dispatch", "queue", "engine.generate"} {
		is.True(strings.Contains(string(spans), `"Name":"`+name+`"`)) // the hop has a span
	}
}

// complete sends a request to each node, so that at least one request is forwarded
// between the nodes.
func complete(ctx context.Context, d *Deployment) error {
	for _, node := range d.Nodes {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.CallerAddress+"/v1/completions",
			strings.NewReader(`{"model":"reviewer","prompt":"Assess.","max_tokens":4}`))
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return err
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("completion request to node %s was answered with %s, expected status 200", node.ID, response.Status)
		}
	}
	return nil
}

// peerFiles are the files by which the hosts of one deployment authenticate each other.
type peerFiles struct {
	authority *authority.Authority
	folder    string
}

func newPeerFiles(t *testing.T) peerFiles {
	t.Helper()
	is := is.New(t)
	files := peerFiles{folder: t.TempDir()}
	var err error
	files.authority, err = authority.New(time.Now(), time.Hour)
	is.NoErr(err)
	_, _, err = files.authority.Write(files.folder, "authority")
	is.NoErr(err)
	secret := make([]byte, datagram.KeyBytes)
	_, err = rand.Read(secret)
	is.NoErr(err)
	is.NoErr(os.WriteFile(files.keys(), []byte(hex.EncodeToString(secret)), 0o600))
	return files
}

func (f peerFiles) keys() string { return filepath.Join(f.folder, "datagram.keys") }

func (f peerFiles) settings(t *testing.T, id string) string {
	t.Helper()
	is := is.New(t)
	pair, err := f.authority.Issue(id, time.Now(), time.Hour)
	is.NoErr(err)
	certificate, key, err := pair.Write(f.folder, id)
	is.NoErr(err)
	return fmt.Sprintf("[peer-tls]\nauthority = %s\ncertificate = %s\ndatagram-keys = %s\nkey = %s\n",
		filepath.Join(f.folder, "authority.pem"), certificate, f.keys(), key)
}
