package engine

import (
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"
)

var vocabulary = [...]string{
	"appointment", "bench", "cedar", "dawn", "extension", "family", "granite", "hemlock",
	"inscription", "juniper", "kept", "lichen", "moss", "north", "office", "plot",
	"quiet", "review", "stone", "term", "utility", "valley", "water", "yew",
}

// lengthMarker starts the part of a prompt that sets the length of its completion in
// tokens, as in "[tokens=20]".
const lengthMarker = "[tokens="

// ExpectedCompletion returns the completion of a prompt and its number of tokens. It is
// the same on every engine and for every weight version, so that completions can be
// verified whether or not they were resumed.
func ExpectedCompletion(prompt string, seed int64, maxTokens int) (text string, tokens int) {
	tokens = completionLength(prompt, seed, maxTokens)
	var b strings.Builder
	for i := range tokens {
		b.WriteString(tokenAt(completionKey(prompt, seed), i))
	}
	return b.String(), tokens
}

func completionKey(prompt string, seed int64) uint64 {
	return xxh3.HashStringSeed(prompt, uint64(seed))
}

func tokenAt(key uint64, i int) string {
	h := xxh3.HashStringSeed(strconv.Itoa(i), key)
	return " " + vocabulary[h%uint64(len(vocabulary))]
}

// completionLength returns the number of tokens of a completion. A number after
// lengthMarker sets it, up to maxTokens. Otherwise the length is all of maxTokens for one
// completion in twenty, and a fifth to a half of maxTokens for the others.
func completionLength(prompt string, seed int64, maxTokens int) int {
	if _, after, ok := strings.Cut(prompt, lengthMarker); ok {
		number, _, _ := strings.Cut(after, "]")
		if n, err := strconv.Atoi(number); err == nil && n > 0 {
			return min(n, maxTokens)
		}
	}
	const scale = 1000
	u := int(xxh3.HashStringSeed(prompt, ^uint64(seed)) % scale)
	if u >= scale*19/20 {
		return maxTokens
	}
	return max(1, maxTokens*(200+u*3/10)/scale)
}
