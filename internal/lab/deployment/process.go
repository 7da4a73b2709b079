package deployment

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"

	"github.com/nutmegway/nutmegway/internal/external/hostlist"
	"github.com/nutmegway/nutmegway/internal/lab/process"
)

// Pause suspends the node's process. It does nothing if the nodes run inside this
// process.
func (n *Node) Pause() error {
	if p := n.ownProcess(); p != nil {
		return p.Pause()
	}
	return nil
}

// Resume continues a paused process.
func (n *Node) Resume() error {
	if p := n.ownProcess(); p != nil {
		return p.Resume()
	}
	return nil
}

func (n *Node) ownProcess() *process.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// startProcess runs the nutmegway binary with a settings file for the node.
func (n *Node) startProcess(ctx context.Context) error {
	if err := n.chooseAddresses(ctx); err != nil {
		return err
	}
	file := filepath.Join(n.deployment.Dir, n.ID+".ini")
	const ownerOnly = 0o600
	if err := os.WriteFile(file, []byte(n.settingsText()), ownerOnly); err != nil {
		return err
	}
	p := &process.Process{Args: []string{"serve", "--settings", file}, Log: n.deployment.processLog(), Path: n.deployment.Binary}
	if err := p.Start(ctx); err != nil {
		return err
	}
	n.mu.Lock()
	n.process = p
	n.mu.Unlock()
	n.deployment.Hosts.Set(n.host())
	return nil
}

// processLog returns the destination of the logs of the processes.
func (d *Deployment) processLog() io.Writer {
	if d.ProcessLog != nil {
		return d.ProcessLog
	}
	if !d.Logger.Enabled(context.Background(), slog.LevelError) {
		return io.Discard
	}
	return os.Stderr
}

// drainProcess asks the process to shut down and waits until it has exited.
func (n *Node) drainProcess(p *process.Process) {
	n.deployment.Hosts.SetState(n.ID, hostlist.StateLeaving)
	if err := p.Terminate(); err != nil {
		n.deployment.Logger.Warn("shutdown failed", slog.String("node", n.ID), slog.String("error", err.Error()))
	}
}

func (n *Node) killProcess(p *process.Process) {
	if err := p.Kill(); err != nil {
		n.deployment.Logger.Warn("kill failed", slog.String("node", n.ID), slog.String("error", err.Error()))
	}
}

// chooseAddresses assigns addresses with free ports to a node that has none yet.
func (n *Node) chooseAddresses(ctx context.Context) error {
	var config net.ListenConfig
	for _, address := range []*string{&n.AdminAddress, &n.CallerAddress, &n.PeerAddress} {
		if *address != "" {
			continue
		}
		listener, err := config.Listen(ctx, "tcp", loopback)
		if err != nil {
			return err
		}
		*address = listener.Addr().String()
		if err := listener.Close(); err != nil {
			return err
		}
	}
	return nil
}

// settingsText returns the content of the node's settings file.
func (n *Node) settingsText() string {
	d, s := n.deployment, n.settings()
	var teams strings.Builder
	for team, hash := range s.Teams {
		fmt.Fprintf(&teams, "\n[team %q]\ntoken-sha256 = %s\n", team, hash)
	}
	var extra string
	if d.ExtraSettings != nil {
		extra = "\n" + d.ExtraSettings(n.ID)
	}
	return fmt.Sprintf(`[listen]
admin = %s
caller = %s
peer = %s

[log]
level = info

[node]
availability-zone = %s
deployment = %s
id = %s
region = %s

[platform]
host-list = %s
key-value = %s
weight-store = %s

[shutdown]
grace = %s
%s%s`, n.AdminAddress, n.CallerAddress, n.PeerAddress, n.Zone, s.Node.Deployment, n.ID, s.Node.Region,
		d.Hosts.URL(), n.storeAddress(), d.Weights.URL(), s.Shutdown.Grace, teams.String(), extra)
}
