package infra

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/standin/malformed"
)

// TestMalformedHead guards against a malformed response that counts as the answer to a transaction.
func TestMalformedHead(t *testing.T) {
	for name, response := range malformed.Heads("Content-Type: application/json\r\n", `{"version":5}`) {
		t.Run(name, func(t *testing.T) {
			l, err := malformed.Listen(response)
			assert.NilError(t, err)
			t.Cleanup(func() { assert.NilError(t, l.Close()) })
			_, err = NewClient("http://"+l.Addr().String()).Txn(context.Background(), Txn{})
			assert.ErrorIs(t, err, ErrOutcomeUnknown)
		})
	}
}
