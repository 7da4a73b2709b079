package main

import (
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/tlsfile"
	"github.com/nutmegway/nutmegway/internal/entry/adminapi"
)

// adminTimeout is the timeout of one request to an entry host.
const adminTimeout = 30 * time.Second

// adminFlags holds the flags shared by all commands that call the admin API of
// an entry host.
type adminFlags struct {
	authority string
	output    string
	tokenFile string
	url       string
}

func addAdminFlags(cmd *kingpin.CmdClause) *adminFlags {
	f := new(adminFlags)
	cmd.Flag("admin", "Base URL of an entry host's admin listener.").Envar("NUTMEGWAY_ADMIN").Required().StringVar(&f.url)
	cmd.Flag("authority", "PEM file of the certificate authority that signed the listener's certificate.").Envar("NUTMEGWAY_AUTHORITY").StringVar(&f.authority)
	cmd.Flag("output", "Format of the output: text or json.").Default(outputText).EnumVar(&f.output, outputJSON, outputText)
	cmd.Flag("token-file", "File with the team's bearer token.").Envar("NUTMEGWAY_TOKEN_FILE").Required().StringVar(&f.tokenFile)
	return f
}

// client returns a client of the admin API that uses the token and the authority
// named by the flags.
func (f *adminFlags) client() (adminapi.Client, error) {
	token, err := os.ReadFile(f.tokenFile)
	if err != nil {
		return adminapi.Client{}, kind.Wrap(kind.BadRequest, err)
	}
	transport, err := newTransport(f.authority)
	if err != nil {
		return adminapi.Client{}, err
	}
	return adminapi.Client{
		BaseURL: strings.TrimSuffix(f.url, "/"),
		HTTP:    &http.Client{Timeout: adminTimeout, Transport: transport},
		Token:   strings.TrimSpace(string(token)),
	}, nil
}

// newTransport returns a transport that trusts the certificate authority in the
// PEM file, or the system's certificate authorities if authority is empty.
func newTransport(authority string) (*http.Transport, error) {
	transport := &http.Transport{}
	if authority == "" {
		return transport, nil
	}
	config, err := tlsfile.ConfigTrusting(authority)
	if err != nil {
		return nil, kind.Wrap(kind.BadRequest, err)
	}
	transport.TLSClientConfig = config
	return transport, nil
}
