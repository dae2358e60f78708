package load

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/standin/malformed"
)

// TestMalformedHead guards against a malformed response that the load tool counts as answered.
func TestMalformedHead(t *testing.T) {
	for name, response := range malformed.Heads("Content-Type: text/plain\r\n", "placed") {
		t.Run(name, func(t *testing.T) {
			l, err := malformed.Listen(response)
			assert.NilError(t, err)
			t.Cleanup(func() { assert.NilError(t, l.Close()) })
			c := NewCaller("key", nil)
			t.Cleanup(c.Close)
			r := c.Order(context.Background(), l.Addr().String(), "/x", "key", nil)
			assert.Equal(t, r.Outcome, Failed)
		})
	}
}
