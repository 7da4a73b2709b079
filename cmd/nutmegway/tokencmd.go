package main

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/base/inifile"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// tokenFileMode lets only the owner read the token.
const tokenFileMode = 0o600

func addToken(app *kingpin.Application) command {
	cmd := app.Command("token", "Create a bearer token for a team and print the settings section that accepts it.\n\nExample: nutmegway token brazos-basin --file brazos-basin.token")
	team := cmd.Arg("team", "Name of the team.").Required().String()
	file := cmd.Flag("file", "File to write the token to.").Required().String()
	return command{name: cmd.FullCommand(), run: func(_ context.Context, stdout, _ io.Writer) error {
		token := rand.Text()
		if err := os.WriteFile(*file, []byte(token+"\n"), tokenFileMode); err != nil {
			return kind.Wrap(kind.BadRequest, err)
		}
		sum := sha256.Sum256([]byte(token))
		fmt.Fprintf(stdout, "[%s]\ntoken-sha256 = %s\n", inifile.SectionName("team", *team), hex.EncodeToString(sum[:]))
		return nil
	}}
}
