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
	applyTries     = 5
	spreadInterval = 200 * time.Millisecond
)

func addDocumentApply(parent *kingpin.CmdClause) command {
	cmd := parent.Command("apply", "Make a file the document of a service, if the revision is still the one that was read.\n\nExample: nutmegway document apply reviewer --file reviewer.ini --revision 41 --wait")
	service := cmd.Arg("service", "The service.").Required().String()
	file := cmd.Flag("file", "The document.").Required().String()
	revision := cmd.Flag("revision", "The revision that the edit was made from; 0 creates the document.").Required().Int64()
	author := cmd.Flag("author", "Who made the edit; default is the user's name.").String()
	changeID := cmd.Flag("change-id", "The id of an earlier try of the same edit, to learn whether it landed; default is a new one.").String()
	dryRun := cmd.Flag("dry-run", "Only tell how the edit would be answered.").Bool()
	wait := cmd.Flag("wait", "Wait until the document is in force on all nodes.").Bool()
	timeout := cmd.Flag("timeout", "How long to wait for that.").Default("11s").Duration()
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
		edition, err := apply(ctx, client, edit)
		if err != nil {
			return unsettled(err, edit.ChangeID)
		}
		err = write(stdout, admin.output, edition, func(w io.Writer) {
			fmt.Fprintf(w, "service=%s revision=%d change-id=%s\n", edition.Service, edition.Revision, edition.ChangeID)
		})
		if err != nil || !*wait {
			return err
		}
		return waitInForce(ctx, client, *service, *timeout, stdout)
	}}
}

// apply sends the edit again under the same change id when the answer was
// lost, so that the operator learns truly whether it landed.
func apply(ctx context.Context, client adminapi.Client, edit document.Edit) (adminapi.DocumentRevision, error) {
	return backoff.Retry(ctx, func() (adminapi.DocumentRevision, error) {
		edition, err := client.Apply(ctx, edit)
		if err != nil && !kind.Is(err, kind.Unavailable) && !kind.Is(err, kind.StoreWriteUnknown) {
			return edition, backoff.Permanent(err)
		}
		return edition, err
	}, backoff.WithMaxTries(applyTries))
}

// unsettled adds to an error after which the edit may have landed how to learn
// whether it did.
func unsettled(err error, changeID string) error {
	e := kind.Of(err)
	if e.Ran != kind.RanUnknown {
		return err
	}
	e.Message += "; the edit may have landed, apply it again with --change-id " + changeID
	return e
}

// waitInForce waits until no node lags, and names those that do at the end.
func waitInForce(ctx context.Context, client adminapi.Client, service string, timeout time.Duration, stdout io.Writer) error {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(spreadInterval)
	defer ticker.Stop()
	lagging := []string{"unknown"}
	for {
		spread, err := client.Spread(ctx, service)
		if err == nil {
			lagging = spread.Lagging
		}
		if err == nil && len(lagging) == 0 {
			fmt.Fprintf(stdout, "in-force service=%s revision=%d seconds=%.2f\n", service, spread.Revision, time.Since(begin).Seconds())
			return nil
		}
		select {
		case <-ctx.Done():
			return kind.New(kind.DeadlineExceeded, "accepted, but not in force within %s on: %s", timeout, strings.Join(lagging, ", "))
		case <-ticker.C:
		}
	}
}

func authorName(flag string) string {
	if flag != "" {
		return flag
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
