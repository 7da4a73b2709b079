package affinity

import (
	"math/bits"
	"strconv"

	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
)

// Key returns the affinity key of a prompt: the hash of the prefix whose number of
// blocks is the highest power of two within three quarters of the prompt. Prompts
// that share a long prefix and differ only at the end have the same key, unless a
// power of two lies between three quarters of their lengths. The key of a
// conversation changes each time its length doubles.
func Key(blocks []uint64) uint64 {
	if len(blocks) == 0 {
		return 0
	}
	shared := max(1, len(blocks)*3/4)
	depth := 1 << (bits.Len(uint(shared)) - 1)
	return blocks[depth-1]
}

// Rank returns servers in order of preference for key, by rendezvous hashing. All
// nodes compute the same order without communication.
func Rank(key uint64, servers []string) []string {
	return rendezvous.Rank(strconv.FormatUint(key, 16), servers)
}
