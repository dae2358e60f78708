package control

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/group"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/membership"
)

// Guards against a holder that wakes from a pause past its lease and still
// sends the command or transaction that it was about to send.
func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	var hits atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		hits.Add(1)
		_, _ = w.Write([]byte(`{"version":1}`))
	}))
	t.Cleanup(server.Close)
	now := time.Second
	l := &Loop{opts: Options{
		Table: infra.NewClient(server.URL), Engines: engine.NewControl(), Scope: tally.NoopScope,
		Now: func() time.Duration { return now },
	}}
	l.startGroups()
	t.Cleanup(l.groups.cancel)
	cmd := group.Command{
		ID: 1, Address: strings.TrimPrefix(server.URL, "http://"), Deadline: 2 * time.Second,
		Release: &engine.ReleaseCommand{Group: "g", Epoch: 1},
	}
	txn := group.Transact{Attempt: "a", Deadline: 2 * time.Second}
	assert.Equal(t, l.command(cmd).Outcome, group.CommandDone)
	assert.Equal(t, l.transact(txn).Outcome, infra.OutcomeApplied)
	assert.Equal(t, hits.Load(), int32(2))
	now = 2 * time.Second
	assert.Equal(t, l.command(cmd).Outcome, group.CommandRefused)
	assert.Equal(t, l.transact(txn).Outcome, infra.OutcomeNotApplied)
	assert.Equal(t, hits.Load(), int32(2))
}

// Guards against membership messages of processes that do not know the peers'
// secret, and against changed ones.
func TestDatagramsAreAuthenticated(t *testing.T) {
	l, other := &Loop{}, &Loop{}
	l.opts.PeerSecret, other.opts.PeerSecret = []byte("secret"), []byte("guess")
	body, err := membership.Encode(membership.Message{Kind: membership.KindPing, From: "a", Target: "b"})
	assert.NilError(t, err)
	good := append(l.datagramMAC(body), body...)
	_, err = l.openDatagram(good)
	assert.NilError(t, err)
	_, err = other.openDatagram(good)
	assert.ErrorIs(t, err, errDatagramRefused)
	good[len(good)-1] ^= 1
	_, err = l.openDatagram(good)
	assert.ErrorIs(t, err, errDatagramRefused)
	_, err = l.openDatagram(good[:datagramMACBytes-1])
	assert.ErrorIs(t, err, errDatagramRefused)
}
