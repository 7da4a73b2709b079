package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/base/authority"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// authorityFileName is the base name of the certificate authority's files. It is not
// allowed as the id of a host, because the files of that host would overwrite those of the
// authority.
const authorityFileName = "authority"

func addCertificate(app *kingpin.Application) command {
	cmd := app.Command("certificate", "Issue the certificate that an entry host presents to the other entry hosts. The first call creates the certificate authority in the folder.\n\nExample: nutmegway certificate entry-waco-1 --folder certificates")
	host := cmd.Arg("host", "ID of the entry host.").Required().String()
	folder := cmd.Flag("folder", "Folder of the certificate authority and the certificates.").Required().String()
	lifetime := cmd.Flag("lifetime", "Validity period of the certificate.").Default("8760h").Duration()
	return command{name: cmd.FullCommand(), run: func(_ context.Context, stdout, _ io.Writer) error {
		if *host == authorityFileName {
			return kind.New(kind.BadRequest, "host id %q is reserved for the files of the certificate authority", authorityFileName)
		}
		if err := issueCertificate(stdout, *host, *folder, *lifetime); err != nil {
			return kind.Wrap(kind.BadRequest, err)
		}
		return nil
	}}
}

// issueCertificate writes the host's certificate and key and prints the settings
// section that refers to them.
func issueCertificate(stdout io.Writer, host, folder string, lifetime time.Duration) error {
	signer, err := openAuthority(folder, lifetime)
	if err != nil {
		return err
	}
	pair, err := signer.Issue(host, time.Now(), lifetime)
	if err != nil {
		return err
	}
	certificate, key, err := pair.Write(folder, host)
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "[peer-tls]\nauthority = %s\ncertificate = %s\nkey = %s\n",
		filepath.Join(folder, authorityFileName+".pem"), certificate, key)
	return nil
}

// openAuthority reads the certificate authority in the folder, or creates it if
// the folder has none. A new authority is valid for twice the lifetime, so that it
// outlives the certificates that it signs in the first half of its validity.
func openAuthority(folder string, lifetime time.Duration) (*authority.Authority, error) {
	pair, err := authority.Read(folder, authorityFileName)
	if err == nil {
		return authority.Parse(pair)
	}
	if _, statErr := os.Stat(filepath.Join(folder, authorityFileName+".pem")); !os.IsNotExist(statErr) {
		return nil, err
	}
	created, err := authority.New(time.Now(), 2*lifetime)
	if err != nil {
		return nil, err
	}
	_, _, err = created.Write(folder, authorityFileName)
	return created, err
}
