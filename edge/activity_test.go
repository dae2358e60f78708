package edge

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/activity"
	"github.com/bulrushfall/bulrushfall/beacon"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/wire"
)

// Guards against counting, messages and calls for duties that the settings do not ask for.
func TestNoUsageWithoutDuties(t *testing.T) {
	n := dutyNode(t, DutySettings{}, nil)
	assert.Assert(t, n.startActivity() == nil)
	m := beacon.Message{From: "entry-0"}
	plain, err := beacon.Encode(&m)
	assert.NilError(t, err)
	n.addActivity(&m)
	b, err := beacon.Encode(&m)
	assert.NilError(t, err)
	assert.DeepEqual(t, b, plain)

	n.receiveActivity(&beacon.Message{From: "entry-1", Activity: &activity.Report{Time: 1}})
	n.receiveTime("entry-1", 1)
	n.holdsLease.Store(true)
	n.collectActivity(time.Hour)
	assert.Assert(t, n.activity == nil && n.nextCollectAt == 0 && n.modelActivity() == nil)

	l, err := net.Listen("tcp", "127.77.142.1:8004")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go func() { _ = n.newPeerNode().Serve(l) }()
	err = n.newPeerNode().Call(t.Context(), l.Addr().String(), kindActivity, activityRequest{}, &activityResponse{})
	assert.ErrorContains(t, err, wire.ErrUnknownKind.Error())
}

// Guards against counts of a relay, of the instances that it hears of or of the holder of the
// lease that do not reach the report of their window, or whose demand is lost, and against
// windows that an instance without the lease reports.
func TestUsageWindowIsCounted(t *testing.T) {
	s := DutySettings{Address: "platform", CallRate: 1, ReportsUsage: true, UsageWindow: time.Second, UsageDelay: 10 * time.Second, UsageTolerance: 0.05}
	relay, n := dutyNode(t, s, nil), dutyNode(t, s, nil)
	relay.settings.Instance, relay.self.Instance, relay.settings.DataCentre = "entry-9", "entry-9", "b"
	l, err := net.Listen("tcp", "127.77.142.2:8004")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go func() { _ = relay.newPeerNode().Serve(l) }()
	n.peerNode = n.newPeerNode()

	now := n.activity.now()
	window := int64(now/s.UsageWindow) - 2
	start := time.Duration(window) * s.UsageWindow
	since := start - time.Minute
	for _, x := range []*Node{relay, n} {
		x.activity.ledger = activity.NewLedger(activity.Windows{Length: s.UsageWindow, Delay: s.UsageDelay}, since)
		x.activity.ledger.Add(now, start, "mill")
		x.addActivity(&beacon.Message{From: x.settings.Instance})
	}
	key := modelKey{Service: "llm", Model: "m"}
	for i, requests := range []uint64{10, 20} {
		relay.receiveActivity(&beacon.Message{From: "entry-1", Incarnation: "1", DataCentre: "b", Activity: &activity.Report{
			Time: now + time.Duration(i-1)*time.Second, Since: since,
			Windows: []activity.WindowCounts{{Window: window, Total: 4, Counts: []activity.Count{{Account: "mill", Runs: 4}}}},
			Models:  []activity.ModelDemand{{ModelKey: key, Demand: activity.Demand{Requests: requests, PromptTokens: 100 * requests}}},
		}})
	}

	n.collectActivity(time.Hour)
	assert.Equal(t, n.nextCollectAt, time.Duration(0))
	n.collectFrom(beacon.Peer{Instance: "entry-9", Address: netip.MustParseAddr("127.77.142.2")})
	n.collect(time.Hour, map[ident.DataCentre]int{"a": 1, "b": 2})
	counts := make(map[int64]activity.Result)
	for len(n.events) > 0 {
		if e, ok := (<-n.events).(windowEvent); ok {
			counts[e.Window] = e.Result
		}
	}
	got := counts[window]
	assert.DeepEqual(t, got.Counts, map[ident.Account]uint64{"mill": 6})
	assert.Assert(t, got.Complete && got.Counted == 3 && got.Expected == 3, "%+v", got)
	rates := n.modelActivity()[key]
	assert.Equal(t, rates.Rates, activity.Rates{Arrivals: 10, PromptTokens: 1000})
	assert.Equal(t, rates.Counted, 1)

	n.handleWindow(got)
	assert.Assert(t, n.dutyStatus.Load() == nil, "an instance without the lease reports a window")
	n.holdsLease.Store(true)
	n.handleWindow(got)
	assert.Assert(t, n.dutyStatus.Load() != nil)
}
