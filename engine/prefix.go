package engine

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Units of prompts as engines count and cache them.
const (
	// BytesPerToken is the rough length of a token that engines and the gateway
	// use to estimate the tokens of a prompt.
	BytesPerToken = 4
	// PrefixBlockTokens is the number of tokens of a block of the prefix cache.
	PrefixBlockTokens = 16
)

// Text returns the prompt of a completion request as one string. The text of a chat
// request starts with the text of the earlier requests of the same conversation.
func (r *CompletionRequest) Text() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// TokenCount estimates the number of tokens of a prompt.
func TokenCount(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}

// PrefixHashes returns the hashes of the block-aligned prefixes of a prompt,
// shortest first. They are the Prefix values of cache events.
func PrefixHashes(prompt string) []uint64 {
	const blockBytes = PrefixBlockTokens * BytesPerToken
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	var d xxhash.Digest
	d.Reset()
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = d.WriteString(prompt[end-blockBytes : end])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}
