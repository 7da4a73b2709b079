package engine

import "github.com/zeebo/xxh3"

// The units of the prefix cache.
const (
	// BlockBytes is the length of one prompt block in bytes.
	BlockBytes = 64
	// BlockTokens is the number of tokens of one prompt block.
	BlockTokens = BlockBytes / bytesPerToken

	bytesPerToken = 4
)

// PromptTokens estimates the number of tokens of a prompt from its length in bytes.
func PromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// HashPrefix returns the hash of the whole blocks of prefix, or zero if it is shorter than
// one block.
func HashPrefix(prefix string) uint64 {
	hashes := PrefixBlocks(prefix)
	if len(hashes) == 0 {
		return 0
	}
	return hashes[len(hashes)-1]
}

// PrefixBlocks returns the hash of each prefix of prompt that consists of whole blocks,
// shortest first.
func PrefixBlocks(prompt string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/BlockBytes)
	var parent uint64
	for ; len(prompt) >= BlockBytes; prompt = prompt[BlockBytes:] {
		parent = xxh3.HashStringSeed(prompt[:BlockBytes], parent)
		hashes = append(hashes, parent)
	}
	return hashes
}
