// Package adminapi serves the HTTP interface of operators on a listener of its own, and
// has a client for it. A request carries the bearer token of a team, and a team can access
// only its own documents.
package adminapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// Teams maps a team to the SHA-256 of its token in hexadecimal.
type Teams map[string]string

// Authenticate returns the team whose token the request carries.
func (t Teams) Authenticate(r *http.Request) (string, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return "", kind.New(kind.Unauthorized, "the request carries no bearer token")
	}
	sum := sha256.Sum256([]byte(token))
	hash := []byte(hex.EncodeToString(sum[:]))
	var found string
	for team, want := range t {
		if subtle.ConstantTimeCompare(hash, []byte(want)) == 1 {
			found = team
		}
	}
	if found == "" {
		return "", kind.New(kind.Unauthorized, "the bearer token belongs to no team")
	}
	return found, nil
}
