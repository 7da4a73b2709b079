package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/fleet/datagram"
)

func addDatagramKey(app *kingpin.Application) command {
	cmd := app.Command("datagram-key", "Print a new random key for the encryption of datagrams between entry hosts.\n\nExample: nutmegway datagram-key >> datagram.keys")
	return command{name: cmd.FullCommand(), run: func(_ context.Context, stdout, _ io.Writer) error {
		secret := make([]byte, datagram.KeyBytes)
		// crypto/rand.Read never returns an error; it crashes the process instead.
		_, _ = rand.Read(secret)
		fmt.Fprintln(stdout, hex.EncodeToString(secret))
		return nil
	}}
}
