package target

import "github.com/cespare/xxhash/v2"

const (
	bytesPerToken = 4    // estimated mean length of a token in a prompt
	prefixBytes   = 2048 // length of the prompt prefix that is hashed
)

// CountTokens estimates the number of tokens of a prompt from its length in bytes.
func CountTokens(prompt string) int { return (len(prompt) + bytesPerToken - 1) / bytesPerToken }

// PrefixOf returns the hash and the estimated number of tokens of the prompt prefix that
// an engine is likely to have in its prefix cache. A hash is never 0. For a prompt
// shorter than prefixBytes, PrefixOf returns 0, 0.
func PrefixOf(prompt string) (hash uint64, tokens int) {
	if len(prompt) < prefixBytes {
		return 0, 0
	}
	return xxhash.Sum64String(prompt[:prefixBytes]) | 1, prefixBytes / bytesPerToken
}
