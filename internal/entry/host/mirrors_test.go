package host

import (
	"log/slog"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/plain"
)

// prefixDecoder is a decoder of which only the prefixes are used.
type prefixDecoder struct{ EntryDecoder }

func (prefixDecoder) Prefixes() Prefixes { return Prefixes{Operators: "op/", Servers: "servers/"} }

// TestMirrorsShareFailedReaders guards against a configuration that comes late since the
// mirror of the operators' keys asks a reader again that has already failed another mirror.
func TestMirrorsShareFailedReaders(t *testing.T) {
	is := is.New(t)
	h := &Host{
		Decoder: prefixDecoder{}, Logger: slog.New(slog.DiscardHandler), Plain: &plain.Client{},
		Settings: Settings{ID: "h1", PeerAddress: "127.0.0.1:1", StoreAddress: "127.0.0.1:2"},
	}
	h.SetUp()
	mirrors := h.mirrors()
	is.True(len(mirrors) > 1)
	for _, m := range mirrors {
		is.True(m.Source != nil)
		is.True(m.Source == mirrors[0].Source)
	}
}
