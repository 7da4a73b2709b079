package batch

import "unicode/utf8"

const (
	// escapedBytes is the length of \u003c and its like.
	escapedBytes = 6
	// pairBytes is the length of \" and its like.
	pairBytes = 2
)

// encodedLen returns the length of text as a JSON string of encoding/json, without its quotes,
// or a few bytes more.
func encodedLen(text string) int {
	n := 0
	for _, r := range text {
		switch {
		case r == '"', r == '\\':
			n += pairBytes
		case r < ' ', r == '<', r == '>', r == '&', r == utf8.RuneError, r == '\u2028', r == '\u2029':
			n += escapedBytes
		default:
			n += utf8.RuneLen(r)
		}
	}
	return n
}
