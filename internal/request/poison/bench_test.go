package poison_test

import (
	"strings"
	"testing"

	"github.com/nutmegway/nutmegway/internal/request/poison"
)

// BenchmarkNormalize normalizes and hashes a prompt of four kilobytes.
func BenchmarkNormalize(b *testing.B) {
	prompt := strings.Repeat("Assess the extension of filing 2f1e0c7a5f6d of the office. ", 70)
	b.SetBytes(int64(len(prompt)))
	for b.Loop() {
		_ = poison.PromptFingerprint("reviewer", poison.Normalize(prompt))
	}
}
