package service

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// TestExamples guards against invalid example files, and against a value that
// changes when a document is encoded as YAML and parsed again.
func TestExamples(t *testing.T) {
	for _, name := range []string{"quotes", "orders", "drafting", "samples"} {
		b, err := os.ReadFile(filepath.Join("..", "examples", name+".yaml"))
		assert.NilError(t, err)
		doc, err := ParseFile(name, b)
		assert.NilError(t, err)
		out, err := doc.YAML()
		assert.NilError(t, err)
		again, err := Parse(out)
		assert.NilError(t, err, "%s", out)
		assert.DeepEqual(t, doc, again)
	}
}

// TestRules guards against an invalid document that is accepted, and against an
// error at the wrong line or field. Each case edits lines of an example.
func TestRules(t *testing.T) {
	for _, c := range []struct {
		file, old, new string
		want           []string
	}{
		{"quotes", "minimum: 4", "minimum: 7", []string{"11: replicas.minimum"}},
		{"quotes", "minimum: 4", "minimun: 4", []string{"11: replicas.minimun"}},
		{"quotes", "cold_requests: 2", "cold_requests: 33", []string{"21: backend.cold_requests"}},
		{"quotes", "weight: 4", "weight: 0", []string{"28: accounts[0].weight"}},
		{"quotes", "name: branch-offices", "name: web-shop", []string{"32: accounts[1].name"}},
		{"quotes", "deadline: 8s", "deadline: 2h", []string{"18: deadline"}},
		{"quotes", "deadline: 8s", "deadline: soon\npriority2: 3", []string{"18: deadline", "19: priority2"}},
		{"quotes", "name: quote-writer", "adapters: [a, a]", []string{"6: model.name", "7: model.adapters"}},
		{"quotes", `version: "7"`, "version: \"7\"\n  roles: [prefill]", []string{"9: model.roles"}},
		{"quotes", "class: interactive", "class: urgent", []string{"16: class"}},
		{"drafting", "    key_sha256: ", "    key_sha256: x", []string{"28: accounts[0].key_sha256", "33: accounts[1].key_sha256"}},
		{"orders", "path_prefix: /stock/lookup", "path_prefix: stock", []string{"18: methods[1].path_prefix"}},
		{"orders", "path_prefix: /rush-orders", "path_prefix: /", []string{"17: methods[1]", "24: methods[3]"}},
		{"orders", "kind: plain", "kind: plain\nreplicas: {wanted: 2}", []string{"6: replicas"}},
		{"orders", "service: orders", "service: Orders Of Ours", []string{"3: service"}},
	} {
		t.Run(c.new, func(t *testing.T) {
			b, err := os.ReadFile(filepath.Join("..", "examples", c.file+".yaml"))
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(string(b), c.old))
			_, err = ParseFile("f.yaml", []byte(strings.ReplaceAll(string(b), c.old, c.new)))
			var e *Error
			assert.Assert(t, errors.As(err, &e), "%v", err)
			assert.Equal(t, len(e.Problems), len(c.want), "%v", err)
			for i, p := range e.Problems {
				assert.Assert(t, strings.HasPrefix(p.String(), "f.yaml:"+c.want[i]+": "), "%v", p)
				assert.Assert(t, p.Remedy != "")
			}
		})
	}
}
