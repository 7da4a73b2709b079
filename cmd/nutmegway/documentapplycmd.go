package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/entry/adminapi"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
)

const (
	maxApplyAttempts    = 5
	inForcePollInterval = 200 * time.Millisecond
)

func addDocumentApply(parent *kingpin.CmdClause) command {
	cmd := parent.Command("apply", "Replace the document of a service with a file, unless its revision has changed since it was read.\n\nExample: nutmegway document apply reviewer --file reviewer.ini --revision 41 --wait")
	service := cmd.Arg("service", "Name of the service.").Required().String()
	file := cmd.Flag("file", "File with the new document.").Required().String()
	revision := cmd.Flag("revision", "Revision that the edit is based on; 0 creates the document.").Required().Int64()
	author := cmd.Flag("author", "Author of the edit; default is the user name.").String()
	changeID := cmd.Flag("change-id", "Change ID of an earlier attempt at the same edit, to find out whether it was applied; default is a new ID.").String()
	dryRun := cmd.Flag("dry-run", "Only check whether the edit would be accepted.").Bool()
	wait := cmd.Flag("wait", "Wait until the document is in force on all entry hosts.").Bool()
	timeout := cmd.Flag("timeout", "Time limit of --wait.").Default("11s").Duration()
	admin := addAdminFlags(cmd)
	return command{name: cmd.FullCommand(), run: func(ctx context.Context, stdout, _ io.Writer) error {
		client, err := admin.client()
		if err != nil {
			return err
		}
		text, err := os.ReadFile(*file)
		if err != nil {
			return kind.Wrap(kind.BadRequest, err)
		}
		edit := document.Edit{
			Author:       authorName(*author),
			BaseRevision: *revision,
			ChangeID:     cmp.Or(*changeID, uuid.NewString()),
			Service:      *service,
			Text:         string(text),
		}
		if *dryRun {
			_, err := client.DryRun(ctx, edit)
			return err
		}
		revision, err := apply(ctx, client, edit)
		if err != nil {
			return addChangeIDHint(err, edit.ChangeID)
		}
		err = writeOutput(stdout, admin.output, revision, func(w io.Writer) {
			fmt.Fprintf(w, "service=%s revision=%d change-id=%s\n", revision.Service, revision.Revision, revision.ChangeID)
		})
		if err != nil || !*wait {
			return err
		}
		return waitInForce(ctx, client, *service, *timeout, stdout)
	}}
}

// apply retries the edit if no entry host answers or the outcome of the write is unknown.
// All attempts have the same change ID, so that a retry returns the outcome of an earlier
// attempt whose response was lost.
func apply(ctx context.Context, client adminapi.Client, edit document.Edit) (adminapi.DocumentRevision, error) {
	return backoff.Retry(ctx, func() (adminapi.DocumentRevision, error) {
		revision, err := client.Apply(ctx, edit)
		if err != nil && !kind.Is(err, kind.Unavailable) && !kind.Is(err, kind.StoreWriteUnknown) {
			return revision, backoff.Permanent(err)
		}
		return revision, err
	}, backoff.WithMaxTries(maxApplyAttempts))
}

// addChangeIDHint appends the change ID to an error that leaves open whether the edit
// was applied. Applying the edit again under this ID returns the first outcome.
func addChangeIDHint(err error, changeID string) error {
	e := kind.Of(err)
	if e.Ran != kind.RanUnknown {
		return err
	}
	e.Message += "; the edit may have been applied: to find out, apply it again with --change-id " + changeID
	return e
}

// waitInForce polls until the document is in force on all nodes. If the timeout
// expires, the error names the nodes that still lag.
func waitInForce(ctx context.Context, client adminapi.Client, service string, timeout time.Duration, stdout io.Writer) error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	lagging := []string{"unknown"}
	for {
		nodes, err := client.LaggingNodes(ctx, service)
		if err == nil {
			lagging = nodes.Lagging
		}
		if err == nil && len(lagging) == 0 {
			fmt.Fprintf(stdout, "in-force service=%s revision=%d seconds=%.2f\n", service, nodes.Revision, time.Since(start).Seconds())
			return nil
		}
		select {
		case <-ctx.Done():
			return kind.New(kind.DeadlineExceeded, "edit of service %q accepted, but after %s not in force on nodes: %s", service, timeout, strings.Join(lagging, ", "))
		case <-ticker.C:
		}
	}
}

// authorName returns the value of the flag author, or the user name if it is empty.
func authorName(flag string) string {
	if flag != "" {
		return flag
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
