package orders

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/engine"
)

// TestOrders guards against a run that is not counted and against a refused order
// that ran.
func TestOrders(t *testing.T) {
	s, err := Start(DefaultConfig())
	assert.NilError(t, err)
	defer s.Close()
	place := func() (*http.Response, error) {
		resp, err := http.Post("http://"+s.Addr()+"/orders", "application/json", strings.NewReader(`{"id":"o1"}`))
		if err == nil {
			_ = resp.Body.Close()
		}
		return resp, err
	}
	s.SetFaults(Faults{RefuseNotRun: 1})
	resp, err := place()
	assert.NilError(t, err)
	assert.Equal(t, resp.Header.Get(engine.HeaderNotRun), "1")
	assert.Equal(t, s.Record().Counts["o1"], 0)
	s.SetFaults(Faults{LoseAnswers: 1})
	_, err = place()
	assert.Assert(t, err != nil)
	resp, err = place()
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusCreated)
	assert.Equal(t, s.Record().Counts["o1"], 2)
}
