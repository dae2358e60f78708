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

// Guards against a lease holder that was paused until its lease expired and then
// still sends the command or transaction that it had prepared.
func TestNothingIsSentAfterDeadline(t *testing.T) {
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
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
	assert.Equal(t, l.sendCommand(cmd).Outcome, group.CommandDone)
	assert.Equal(t, l.transact(txn).Outcome, infra.OutcomeApplied)
	assert.Equal(t, requests.Load(), int32(2))
	now = 2 * time.Second
	assert.Equal(t, l.sendCommand(cmd).Outcome, group.CommandRefused)
	assert.Equal(t, l.transact(txn).Outcome, infra.OutcomeNotApplied)
	assert.Equal(t, requests.Load(), int32(2))
}

// Guards against accepted membership messages of processes without the peers' secret,
// and against accepted messages that were modified or truncated.
func TestDatagramsAreAuthenticated(t *testing.T) {
	l, other := &Loop{}, &Loop{}
	l.opts.PeerSecret, other.opts.PeerSecret = []byte("secret"), []byte("guess")
	body, err := membership.Encode(membership.Message{Kind: membership.KindPing, From: "a", Target: "b"})
	assert.NilError(t, err)
	datagram := append(l.datagramMAC(body), body...)
	_, err = l.verifyDatagram(datagram)
	assert.NilError(t, err)
	_, err = other.verifyDatagram(datagram)
	assert.ErrorIs(t, err, errDatagramUnauthenticated)
	datagram[len(datagram)-1] ^= 1
	_, err = l.verifyDatagram(datagram)
	assert.ErrorIs(t, err, errDatagramUnauthenticated)
	_, err = l.verifyDatagram(datagram[:datagramMACBytes-1])
	assert.ErrorIs(t, err, errDatagramUnauthenticated)
}
