package standin

import (
	"math"
	"math/rand/v2"
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	medianOutputTokens = 120.0
	outputSigma        = 1.2 // standard deviation of the natural logarithm of the output length
	maxOutputTokens    = 8192
)

var (
	lengthDirective = regexp.MustCompile(`\[length=(\d{1,6})\]`)
	syllables       = []string{"ba", "do", "ki", "lu", "mo", "na", "pe", "ri", "so", "tu", "ve", "wi", "ya", "zo", "che", "sha"}
)

// OutputLength returns the length in tokens of the output for a prompt: N if the prompt
// contains "[length=N]", otherwise a random length from a log-normal distribution that
// depends only on the seed and the prompt.
func OutputLength(seed uint64, prompt string) int {
	if m := lengthDirective.FindStringSubmatch(prompt); m != nil {
		n, _ := strconv.Atoi(m[1])
		return max(n, 1)
	}
	r := rand.New(rand.NewPCG(seed, xxhash.Sum64String(prompt)))
	return LogNormalLength(r, medianOutputTokens)
}

// LogNormalLength returns a random output length in tokens from a log-normal distribution
// with the given median, clamped to the range from 1 to maxOutputTokens.
func LogNormalLength(r *rand.Rand, median float64) int {
	n := median * math.Exp(outputSigma*r.NormFloat64())
	return min(max(int(n), 1), maxOutputTokens)
}

// TokenText returns the text of token n, from 0, of a generation. The text depends only on n
// and the identifier of the generation, so a caller can verify every token that it receives.
func TokenText(generation string, n int) string {
	h := xxhash.Sum64String(generation + "/" + strconv.Itoa(n))
	text := " "
	for range 2 + int(h>>60)%2 {
		text += syllables[h%uint64(len(syllables))]
		h >>= 4
	}
	return text
}
