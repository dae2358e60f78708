package engine

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bulrushfall/bulrushfall/engine"
)

// Token returns the text of one token of the answer to a prompt. It depends on
// nothing but the prompt and the offset.
func Token(promptSum uint64, offset int) string {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], promptSum)
	binary.BigEndian.PutUint64(b[8:], uint64(offset))
	return fmt.Sprintf(" %04x", xxhash.Sum64(b[:])&0xffff)
}

// PromptSum identifies a prompt.
func PromptSum(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// ExpectedText returns the whole text of an answer, for verification by callers.
func ExpectedText(req *engine.CompletionRequest, tokens int) string {
	sum := PromptSum(req.Text())
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(sum, i))
	}
	return b.String()
}
