// Package poison finds requests whose content crashes the backend servers that
// run them. Suspicion spreads between the entry hosts within milliseconds of a
// crash; doubtful content runs once at a time in the whole fleet, then alone on
// a server, and is refused once it is proven.
package poison

import (
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// identifierDigits is the number of hexadecimal digits that make a word an
	// identifier, and identifierDecimals the part of them that must be decimal:
	// an English word has none.
	identifierDigits   = 8
	identifierDecimals = 4
)

// Fingerprint returns the hash of a normalized prompt for a model.
func Fingerprint(model, normalized string) uint64 {
	return xxh3.HashString(model + "\x00" + normalized)
}

// Content returns the fingerprint of a single request: what a server runs, whoever asks
// for it and under which id.
func Content(method, host, target string, body []byte) uint64 {
	var h xxh3.Hasher
	for _, part := range []string{method, host, target} {
		_, _ = h.WriteString(part) // A hash takes all bytes.
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// CrashID returns the id of the crash of a server that had started at a time: the same on
// all hosts that saw it.
func CrashID(server string, started time.Time) uint64 {
	return xxh3.HashString(server + "\x00" + started.UTC().Format(time.RFC3339Nano))
}

// Normalize returns a prompt without what callers renew with each repeat:
// identifiers, dates and long numbers are replaced by a number sign, letters are
// in lower case and white space is a single blank.
func Normalize(prompt string) string {
	var b strings.Builder
	b.Grow(len(prompt))
	for i := 0; i < len(prompt); {
		switch end := wordEnd(prompt, i); {
		case end > i && isIdentifier(prompt[i:end]):
			b.WriteByte('#')
			i = end
		case end > i:
			b.WriteString(strings.ToLower(prompt[i:end]))
			i = end
		case isBlank(prompt[i]):
			for i < len(prompt) && isBlank(prompt[i]) {
				i++
			}
			b.WriteByte(' ')
		default:
			b.WriteByte(prompt[i])
			i++
		}
	}
	return strings.TrimSpace(b.String())
}

// wordEnd returns the end of the word that starts at i: letters, digits, and the
// hyphens and colons between them.
func wordEnd(text string, i int) int {
	for i < len(text) && (isAlphanumeric(text[i]) || text[i] == '-' || text[i] == ':') {
		i++
	}
	return i
}

func isAlphanumeric(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// isIdentifier reports whether word is a UUID, a long number, a date or a time.
func isIdentifier(word string) bool {
	digits, decimals := 0, 0
	for i := range len(word) {
		switch c := word[i]; {
		case '0' <= c && c <= '9':
			digits++
			decimals++
		case 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F':
			digits++
		case c != '-' && c != ':' && c != 'T' && c != 'Z':
			return false
		}
	}
	return digits >= identifierDigits && decimals*identifierDecimals >= digits
}
