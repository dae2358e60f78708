package gateway

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/engine"
)

func fingerprintOf(body string) string {
	return fingerprint(&Request{Completion: &engine.CompletionRequest{}, Body: []byte(body)}).String()
}

// randomJSON returns a value of limited depth. It uses few names and leaves, so
// that equal parts are frequent.
func randomJSON(r *rand.Rand, depth int) any {
	leaves := []any{"", "a", "b\n\"é", 0.0, 1.0, -2.5, 1e21, true, false, nil}
	if depth == 0 || r.IntN(3) == 0 {
		return leaves[r.IntN(len(leaves))]
	}
	if r.IntN(2) == 0 {
		out := []any{}
		for range r.IntN(3) {
			out = append(out, randomJSON(r, depth-1))
		}
		return out
	}
	out := map[string]any{}
	for range r.IntN(4) {
		out[[]string{"a", "b", "stream", "é"}[r.IntN(4)]] = randomJSON(r, depth-1)
	}
	return out
}

// layout encodes a value with random whitespace, escapes and order of members.
func layout(r *rand.Rand, v any) string {
	space := strings.Repeat(" \n\t", r.IntN(2))
	var parts []string
	switch v := v.(type) {
	case map[string]any:
		for k, m := range v {
			parts = append(parts, layout(r, k)+":"+layout(r, m))
		}
		r.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
		return space + "{" + strings.Join(parts, ",") + space + "}"
	case []any:
		for _, m := range v {
			parts = append(parts, layout(r, m))
		}
		return space + "[" + strings.Join(parts, ",") + space + "]" + space
	case string:
		for _, c := range v {
			parts = append(parts, fmt.Sprintf("\\u%04x", c))
		}
		return space + `"` + strings.Join(parts, "") + `"` + space
	case float64:
		return space + fmt.Sprintf("%e", v) + space
	}
	b, _ := json.Marshal(v)
	return space + string(b) + space
}

// TestFingerprintOfEqualContent guards against a request that crashed backend
// servers and is not refused in another layout of the same JSON, and against
// different requests with the same fingerprint. The reference is the encoding of
// the decoded body.
func TestFingerprintOfEqualContent(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	seen := make(map[string]string)
	for range 20_000 {
		body, ok := randomJSON(r, 3).(map[string]any)
		if !ok {
			continue
		}
		b, err := json.Marshal(body)
		assert.NilError(t, err)
		print := fingerprintOf(string(b))
		assert.Equal(t, fingerprintOf(layout(r, body)), print, string(b))
		delete(body, "stream")
		canonical, err := json.Marshal(body)
		assert.NilError(t, err)
		if other, ok := seen[print]; ok {
			assert.Equal(t, other, string(canonical))
		}
		seen[print] = string(canonical)
	}
	assert.Assert(t, len(seen) > 1000, "%d different bodies", len(seen))
	assert.Equal(t, fingerprintOf("{ \"a\":1, \"a\":2, \"b\":\"\xff\", \"stream\":true }"), fingerprintOf("{\"b\":\"\xff\",\"a\":1,\"a\":2}"), "duplicate member names")
}
