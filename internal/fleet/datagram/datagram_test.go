package datagram_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/fleet/datagram"
)

func newKeys(tb testing.TB, letters string) []datagram.Key {
	tb.Helper()
	var lines []string
	for _, letter := range letters {
		lines = append(lines, strings.Repeat(string(letter), 2*datagram.KeyBytes))
	}
	if len(lines) == 0 {
		return nil
	}
	keys, err := datagram.ParseKeys(strings.Join(lines, "\n"))
	if err != nil {
		tb.Fatal(err)
	}
	return keys
}

func ExampleOpen() {
	keys, _ := datagram.ParseKeys(strings.Repeat("ab", datagram.KeyBytes))
	sealed := datagram.Seal("brazos", keys, []byte("ping"))
	payload, _ := datagram.Open("brazos", keys, sealed)
	_, err := datagram.Open("halvorsen", keys, sealed)
	fmt.Println(string(payload), "/", err)
	// Output: ping / another deployment
}

// TestOpen opens datagrams between hosts with equal and with different keys, as
// during a key rotation, and from senders with an unknown key.
func TestOpen(t *testing.T) {
	for _, tt := range []struct {
		name     string
		receiver string
		sender   string
		want     string
	}{
		{name: "new key known to both hosts", receiver: "ba", sender: "ab"},
		{name: "no keys", receiver: "", sender: ""},
		{name: "old key still known during rotation", receiver: "ba", sender: "a"},
		{name: "plain datagram to host with keys", receiver: "a", sender: "", want: "not sealed, but this host has keys"},
		{name: "same key", receiver: "a", sender: "a"},
		{name: "sealed datagram to host without keys", receiver: "", sender: "a", want: "sealed, but this host has no keys"},
		{name: "unknown key", receiver: "ab", sender: "c", want: "no valid key"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sealed := datagram.Seal("brazos", newKeys(t, tt.sender), []byte("ping"))
			payload, err := datagram.Open("brazos", newKeys(t, tt.receiver), sealed)
			if tt.want != "" {
				is.Equal(fmt.Sprint(err), tt.want)
				return
			}
			is.NoErr(err)
			is.Equal(string(payload), "ping")
		})
	}
}

// TestConnLogsRefusedDatagrams sends a datagram sealed with an unknown key before
// one sealed with the receiver's key.
func TestConnLogsRefusedDatagrams(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	logger := slog.New(slog.NewTextHandler(&log, nil))
	open := func(letters string) *datagram.Conn {
		inner, err := (&net.ListenConfig{}).ListenPacket(t.Context(), "udp", "127.0.0.1:0")
		is.NoErr(err)
		t.Cleanup(func() { _ = inner.Close() })
		keys := newKeys(t, letters)
		return datagram.NewConn(inner, "brazos", func() []datagram.Key { return keys }, logger)
	}
	receiver, member, nonMember := open("a"), open("a"), open("b")
	_, err := nonMember.WriteTo([]byte("from a non-member"), receiver.LocalAddr())
	is.NoErr(err)
	_, err = member.WriteTo([]byte("from a member"), receiver.LocalAddr())
	is.NoErr(err)
	buffer := make([]byte, 100)
	is.NoErr(receiver.SetReadDeadline(time.Now().Add(10 * time.Second)))
	n, _, err := receiver.ReadFrom(buffer)
	is.NoErr(err)
	is.Equal(string(buffer[:n]), "from a member")
	is.True(strings.Contains(log.String(), `msg="peer refused" reason="no valid key"`))
}

// TestKeyFileKeepsKeysWhenFileBecomesInvalid replaces the file with one that
// contains no valid key.
func TestKeyFileKeepsKeysWhenFileBecomesInvalid(t *testing.T) {
	is := is.New(t)
	file := &datagram.KeyFile{Path: filepath.Join(t.TempDir(), "keys")}
	is.True(file.Load() != nil) // The file does not exist.
	is.NoErr(os.WriteFile(file.Path, []byte(strings.Repeat("ab", datagram.KeyBytes)), 0o600))
	is.NoErr(file.Load())
	is.NoErr(os.WriteFile(file.Path, []byte("none"), 0o600))
	is.True(file.Load() != nil)
	is.Equal(len(file.Keys()), 1)
}

// FuzzOpen searches for datagrams that are accepted without the key.
func FuzzOpen(f *testing.F) {
	keys := newKeys(f, "a")
	f.Add([]byte{})
	f.Add(datagram.Seal("brazos", nil, []byte("ping")))
	f.Add(datagram.Seal("brazos", newKeys(f, "b"), []byte("ping")))
	f.Fuzz(func(t *testing.T, data []byte) {
		if payload, err := datagram.Open("brazos", keys, data); err == nil {
			t.Errorf("accepted %x as %q", data, payload)
		}
	})
}
