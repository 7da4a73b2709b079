package affinity

import (
	"container/list"

	backend "github.com/nutmegway/nutmegway/internal/backend/engine"
)

// prefixCache is a prefix cache that evicts the least recently used blocks.
type prefixCache struct {
	blocks map[uint64]*list.Element
	recent *list.List
}

func newPrefixCache() *prefixCache {
	return &prefixCache{blocks: make(map[uint64]*list.Element), recent: list.New()}
}

// match returns the number of leading blocks that are cached.
func (c *prefixCache) match(blocks []uint64) int {
	for i, block := range blocks {
		if _, ok := c.blocks[block]; !ok {
			return i
		}
	}
	return len(blocks)
}

func (c *prefixCache) insert(blocks []uint64) {
	for _, block := range blocks {
		if element, ok := c.blocks[block]; ok {
			c.recent.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.recent.PushFront(block)
	}
	for c.recent.Len() > cacheBlocks {
		if oldest, ok := c.recent.Remove(c.recent.Back()).(uint64); ok {
			delete(c.blocks, oldest)
		}
	}
}

// simulatePerfectKnowledge assigns each prompt to the server whose cache holds the
// longest prefix of it at that time, among the servers within the allowed load ratio.
func simulatePerfectKnowledge(prompts []string, servers int) trialResult {
	result := trialResult{requestsByEngine: make([]int, servers), prompts: prompts}
	caches := make([]*prefixCache, servers)
	for i := range caches {
		caches[i] = newPrefixCache()
	}
	for n, prompt := range prompts {
		blocks := backend.PrefixBlocks(prompt)
		limit := maxLoadRatio*float64(n+1)/float64(servers) + 1
		best, most := -1, -1
		for i, c := range caches {
			match := c.match(blocks)
			better := match > most || (match == most && result.requestsByEngine[i] < result.requestsByEngine[best])
			if float64(result.requestsByEngine[i]+1) <= limit && better {
				best, most = i, match
			}
		}
		caches[best].insert(blocks)
		result.requestsByEngine[best]++
		result.cachedTokens += most * backend.BlockTokens
		result.promptTokens += backend.PromptTokens(prompt)
	}
	return result
}
