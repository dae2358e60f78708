package explain

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const entryLog = `not json
  3.60 front {"level":"info","msg":"request","outcome":"cut","request":"r1","time":"2026-05-04T02:53:37Z","trail":"stalled:i-1 not-run:i-2:503 Service Unavailable:at 10.1.64.53:8480"}
{"level":"info","msg":"request","outcome":"refused","request":"r2","time":"2026-05-04T02:53:37Z"}
{"level":"info","msg":"group makes no progress","group":"g1","epoch":2,"time":"2026-05-04T02:53:37Z"}
`

const holderLog = `{"msg":"order","order":"open","server":"i-1","group":"g1","time":"2026-05-04T02:53:27Z"}
{"msg":"probe","server":"i-1","alive":true,"time":"2026-05-04T02:53:36Z"}
{"msg":"group dissolved","group":"g1","detail":"member lost","time":"2026-05-04T02:53:38Z"}
{"msg":"group dissolved","group":"g9","time":"2026-05-04T02:53:38Z"}
`

// TestRequest guards against an explanation of an aborted request that lacks the end
// of the group that handled it, or that includes lines about other groups or from
// long before the request.
func TestRequest(t *testing.T) {
	lines, err := Request("r1", []Log{{"entry", strings.NewReader(entryLog)}, {"holder", strings.NewReader(holderLog)}})
	assert.NilError(t, err)
	var got []string
	for _, l := range lines {
		got = append(got, l.Source+": "+l.fields.Message)
	}
	assert.DeepEqual(t, got, []string{"holder: probe", "entry: request", "entry: group makes no progress", "holder: group dissolved"})
}

func TestUnknownRequest(t *testing.T) {
	_, err := Request("r3", []Log{{"entry", strings.NewReader(entryLog)}})
	assert.Assert(t, errors.Is(err, ErrNotFound))
}
