package standin

import (
	"math"
	"math/rand/v2"
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	outputMedian = 120.0 // tokens
	outputSpread = 1.2   // of the logarithm
	outputMost   = 8192  // tokens
)

var (
	directive = regexp.MustCompile(`\[length=(\d{1,6})\]`)
	syllables = []string{"ba", "do", "ki", "lu", "mo", "na", "pe", "ri", "so", "tu", "ve", "wi", "ya", "zo", "che", "sha"}
)

// OutputLength returns how long the output to a prompt is: what the prompt asks
// for by "[length=N]", else a heavy-tailed length drawn by seed and prompt.
func OutputLength(seed uint64, prompt string) int {
	if m := directive.FindStringSubmatch(prompt); m != nil {
		n, _ := strconv.Atoi(m[1])
		return max(n, 1)
	}
	r := rand.New(rand.NewPCG(seed, xxhash.Sum64String(prompt)))
	return HeavyTail(r, outputMedian)
}

// HeavyTail draws an output length with a median in tokens.
func HeavyTail(r *rand.Rand, median float64) int {
	n := median * math.Exp(outputSpread*r.NormFloat64())
	return min(max(int(n), 1), outputMost)
}

// Token returns the text of token n of a generation. It depends on nothing else,
// so whoever knows the generation can check every token.
func Token(generation string, n int) string {
	h := xxhash.Sum64String(generation + "/" + strconv.Itoa(n))
	text := " "
	for range 2 + int(h>>60)%2 {
		text += syllables[h%uint64(len(syllables))]
		h >>= 4
	}
	return text
}
