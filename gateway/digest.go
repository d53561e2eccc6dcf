package gateway

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// requestDigest returns a digest of what a target executes: requests of one organisation with the same
// digest are repetitions of each other, even if identifiers and deadlines differ.
func requestDigest(method, uri string, body []byte) uint64 {
	d := xxhash.New()
	for _, field := range [][]byte{[]byte(method), {0}, []byte(uri), {0}, body} {
		_, _ = d.Write(field) // a hash returns no error
	}
	return d.Sum64()
}

// promptDigest returns a digest of a request and the parts of its prompt. Generations that differ in their
// prompts may have the same requestDigest.
func promptDigest(request uint64, parts []PromptPart) uint64 {
	return xxhash.Sum64(append(binary.LittleEndian.AppendUint64(nil, request), formatParts(parts)...))
}
