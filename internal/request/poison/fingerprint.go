// Package poison detects and quarantines requests whose content crashes the
// backend servers that run them. Content that has crashed as many servers as the
// crash limit says is refused for the time of its quarantine.
//
// A Registry reports crashes to other entry hosts by calls, within milliseconds.
// Before the quarantine it lets suspected content run only once at a time in the
// whole fleet, and one crash below the limit also without other requests on its server.
// A KVRegistry shares the records of crashes through the key-value service. Before
// the quarantine it lets a request be sent to only one server at a time.
package poison

import (
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// minIdentifierDigits is the least number of hexadecimal digits in an
	// identifier. At least one in maxDigitsPerDecimal of them must be decimal, so
	// that English words made of the letters a to f don't count.
	minIdentifierDigits = 8
	maxDigitsPerDecimal = 4
)

// PromptFingerprint returns the hash of a model and a normalized prompt.
func PromptFingerprint(model, normalized string) uint64 {
	return xxh3.HashString(model + "\x00" + normalized)
}

// RequestFingerprint returns the hash of what a server is asked to run. It depends
// neither on the caller nor on the request id.
func RequestFingerprint(method, host, target string, body []byte) uint64 {
	var h xxh3.Hasher
	for _, part := range []string{method, host, target} {
		_, _ = h.WriteString(part) // Writing to a hash never fails.
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// CrashID returns the id of the crash of a server that was started at the given time.
// All hosts that detect the crash compute the same id.
func CrashID(server string, started time.Time) uint64 {
	return xxh3.HashString(server + "\x00" + started.UTC().Format(time.RFC3339Nano))
}

// Normalize returns a prompt without what callers change when they repeat it:
// identifiers, dates and long numbers become a number sign, letters become lower
// case, and each run of white space becomes one space.
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
		case isSpace(prompt[i]):
			for i < len(prompt) && isSpace(prompt[i]) {
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

// wordEnd returns the end of the word that starts at i. A word consists of letters,
// digits, hyphens and colons.
func wordEnd(text string, i int) int {
	for i < len(text) && (isAlphanumeric(text[i]) || text[i] == '-' || text[i] == ':') {
		i++
	}
	return i
}

func isAlphanumeric(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// isIdentifier reports whether word is a UUID, a long number, a date or a time.
func isIdentifier(word string) bool {
	hexDigits, decimals := 0, 0
	for i := range len(word) {
		switch c := word[i]; {
		case '0' <= c && c <= '9':
			hexDigits++
			decimals++
		case 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F':
			hexDigits++
		case c != '-' && c != ':' && c != 'T' && c != 'Z':
			return false
		}
	}
	return hexDigits >= minIdentifierDigits && decimals*maxDigitsPerDecimal >= hexDigits
}
