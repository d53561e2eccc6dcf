package target

import "github.com/cespare/xxhash/v2"

const (
	bytesPerToken = 4
	prefixBytes   = 2048
)

// CountTokens estimates the tokens of a prompt from its bytes.
func CountTokens(prompt string) int { return (len(prompt) + bytesPerToken - 1) / bytesPerToken }

// PrefixOf returns the hash and the tokens of the part of a prompt that engines
// are likely to share, or 0, 0 if the prompt is too short to have one.
func PrefixOf(prompt string) (hash uint64, tokens int) {
	if len(prompt) < prefixBytes {
		return 0, 0
	}
	return xxhash.Sum64String(prompt[:prefixBytes]) | 1, prefixBytes / bytesPerToken
}
