package tlsfile

import (
	"bytes"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/base/authority"
)

// TestChangedFilesAreReloaded replaces a certificate, first with a valid one, which is
// loaded, and then with a malformed file, which leaves the previous certificate in use.
func TestChangedFilesAreReloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		folder := t.TempDir()
		signer, err := authority.New(time.Now(), time.Hour)
		is.NoErr(err)
		write := func(modTime time.Time) {
			pair, err := signer.Issue("host", time.Now(), time.Hour)
			is.NoErr(err)
			certificate, key, err := pair.Write(folder, "host")
			is.NoErr(err)
			is.NoErr(os.Chtimes(certificate, modTime, modTime))
			is.NoErr(os.Chtimes(key, modTime, modTime))
		}
		start := time.Now()
		write(start)
		certificate, key := folder+"/host.pem", folder+"/host-key.pem"
		source := &Source{Files: Files{Certificate: certificate, Key: key}}
		first, _, err := source.load()
		is.NoErr(err)

		write(start.Add(time.Minute))
		same, _, err := source.load()
		is.NoErr(err)
		is.True(bytes.Equal(same.Certificate[0], first.Certificate[0])) // files are checked at most once per minCheckInterval
		time.Sleep(minCheckInterval)
		second, _, err := source.load()
		is.NoErr(err)
		is.True(!bytes.Equal(second.Certificate[0], first.Certificate[0]))

		is.NoErr(os.WriteFile(certificate, []byte("malformed"), 0o600))
		modTime := start.Add(2 * time.Minute)
		is.NoErr(os.Chtimes(certificate, modTime, modTime))
		time.Sleep(minCheckInterval)
		kept, _, err := source.load()
		is.NoErr(err)
		is.True(bytes.Equal(kept.Certificate[0], second.Certificate[0])) // the malformed file is ignored
	})
}
