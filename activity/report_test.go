package activity

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/wire"
)

// TestSumsOnTheWire guards against sums that a relay encodes and the holder cannot decode.
func TestSumsOnTheWire(t *testing.T) {
	for _, sums := range [][]DataCentreSums{
		{{DataCentre: "a", Since: time.Second, Windows: []WindowSums{{Window: 7, Counts: []Count{{"x", 3}, {"y", 300}}, Fresh: []Count{{"z", 1}}, Whole: 2}}}},
		{{DataCentre: "a", Models: []ModelRates{{ModelKey: ModelKey{"s", "m"}, Rates: Rates{Arrivals: 2.5}, Counted: 3}}}},
	} {
		b, err := wire.Marshal(sums)
		assert.NilError(t, err)
		var raw msgpack.RawMessage
		assert.NilError(t, msgpack.Unmarshal(b, &raw))
		var got []DataCentreSums
		assert.NilError(t, msgpack.Unmarshal(raw, &got))
		assert.DeepEqual(t, got, sums)
	}
}
