package edge

import (
	"context"
	"encoding/json"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/duty"
	"github.com/bulrushfall/bulrushfall/formation"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/lease"
	"github.com/bulrushfall/bulrushfall/telemetry"
)

// recordedCalls accepts all calls and records them.
type recordedCalls struct {
	usage chan UsageCall
	size  chan SizeCall
}

func (c recordedCalls) ReportUsage(_ context.Context, call UsageCall) duty.Outcome {
	c.usage <- call
	return duty.Outcome{Result: duty.Accepted}
}

func (c recordedCalls) OrderServers(_ context.Context, call SizeCall) duty.Outcome {
	c.size <- call
	return duty.Outcome{Result: duty.Accepted}
}

// dutyNode returns an entry instance whose control goroutine does not run.
func dutyNode(t *testing.T, s DutySettings, calls PlatformCalls) *Node {
	settings, store := testSettings(40, 0), newMemStore()
	settings.Duties = s
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := New(settings, Platform{Table: &storeView{memStore: store, hangs: make(chan struct{})}, Calls: calls}, log, telemetry.New())
	n.ctx = t.Context()
	store.put(lease.EpochTable, string(formation.LeaseName), "epoch 7")
	return n
}

// Guards against duties that are begun although the settings ask for none.
func TestNoDuties(t *testing.T) {
	n := dutyNode(t, DutySettings{}, nil)
	n.stepDuties(duty.LeaseChanged{Held: true, Grant: lease.Grant{Epoch: 7, Expires: bootNow() + time.Hour}})
	n.stepDuties(duty.WindowCounted{Window: 5})
	n.stepDuties(duty.SizeWanted{Service: "s"})
	assert.Assert(t, n.duties == nil && n.dutyStatus.Load() == nil)
	assert.Equal(t, len(n.events), 0)
}

// Guards against actions of the duties that are not performed, or whose results are lost.
func TestDutiesReachThePlatform(t *testing.T) {
	calls := recordedCalls{make(chan UsageCall, 1), make(chan SizeCall, 1)}
	s := DutySettings{Address: "platform", CallRate: 1e6, ReportsUsage: true, OrdersServers: true, ChecksTokens: true, UsageWindow: time.Second, UsageDelay: time.Minute}
	n := dutyNode(t, s, calls)
	n.duties = duty.New(duty.Config{ReportsUsage: true, ChecksTokens: true, CallRate: 1e6, CallTime: time.Second, UsageWindow: time.Second, UsageDelay: time.Minute, StartedAt: bootNow()})
	version := n.platform.Table.(*storeView).tagged(1)
	n.stepDuties(duty.LeaseChanged{Held: true, Grant: lease.Grant{Epoch: 7, EpochVersion: version, Expires: bootNow() + time.Hour}})
	n.stepDuties(duty.WindowCounted{Window: 5, Counts: map[ident.Account]uint64{"a": 2}})
	for range 3 { // The rows are read, the row is written, the report is answered.
		n.handleEvent(<-n.events)
	}
	token, err := duty.NewToken(7, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, <-calls.usage, UsageCall{Holder: "entry-0", Token: token, Window: 5, Counts: map[ident.Account]uint64{"a": 2}})
	n.stepDuties(duty.SizeWanted{Service: "s", DataCentre: "a", Servers: 4})
	n.handleEvent(<-n.events)
	assert.Equal(t, <-calls.size, SizeCall{Holder: "entry-0", Token: token, Service: "s", DataCentre: "a", Servers: 4})

	w := httptest.NewRecorder()
	n.serveDutyStatus(w, nil)
	var status duty.Status
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &status))
	assert.DeepEqual(t, status.Windows, []duty.WindowStatus{{Window: 5, Requests: 2, Stored: true, Settled: true}})
	assert.Equal(t, *status.Sizes[0].Ordered, 4)
	assert.Assert(t, status.Holder && status.Sizes[0].Settled)
}

// Guards against a call that is sent after a suspension although the lease has ended meanwhile.
func TestNoCallAfterTheLease(t *testing.T) {
	calls := recordedCalls{make(chan UsageCall, 1), make(chan SizeCall, 1)}
	n := dutyNode(t, DutySettings{}, calls)
	n.callPlatform(duty.Call{Attempt: 1, Kind: duty.ReportUsage, Expires: bootNow() + callTime/4})
	assert.Equal(t, (<-n.events).(dutyEvent).Event.(duty.Called).Outcome.Result, duty.NotSent)
	assert.Equal(t, len(calls.usage), 0)
}
