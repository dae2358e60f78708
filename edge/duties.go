package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushfall/bulrushfall/duty"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// Parameters of the duties.
const (
	// callTime bounds a call of a duty. It is shorter than what remains of the planner's lease
	// just before a renewal, so that each moment of a held lease is one for a call.
	callTime = time.Second
	// lateCallTime is how long a call without an answer may take until the platform has done it.
	lateCallTime = 5 * time.Second
	// dutyRetryMin and dutyRetryMax bound the delay until a call or a store access is repeated.
	// A report is due within seconds.
	dutyRetryMin = 300 * time.Millisecond
	dutyRetryMax = 2 * time.Second
	// dutyRejectDelay is the delay until a call is repeated that the platform does not understand,
	// which takes a change of the configuration.
	dutyRejectDelay = 30 * time.Second
)

// UsageCall is a report of the requests of each client account in a usage window.
type UsageCall struct {
	Holder ident.InstanceID
	Token  duty.Token
	Window int64
	Counts map[ident.Account]uint64
}

// SizeCall is an order of the number of backend servers of a service in a data centre.
type SizeCall struct {
	Holder     ident.InstanceID
	Token      duty.Token
	Service    ident.ServiceName
	DataCentre ident.DataCentre
	Servers    int
}

// PlatformCalls are the calls of the platform that one entry instance at a time makes.
type PlatformCalls interface {
	ReportUsage(ctx context.Context, call UsageCall) duty.Outcome
	OrderServers(ctx context.Context, call SizeCall) duty.Outcome
}

// dutyEvent carries an event of the duties to the control goroutine.
type dutyEvent struct{ duty.Event }

func (dutyEvent) edgeEvent() {}

// newDuties returns the state machine of the duties, or nil if the settings ask for none.
func (n *Node) newDuties() *duty.Machine {
	s := &n.settings.Duties
	if !s.ReportsUsage && !s.OrdersServers {
		return nil
	}
	return duty.New(duty.Config{
		ReportsUsage: s.ReportsUsage,
		ChecksTokens: s.ChecksTokens,
		CallRate:     s.CallRate,
		HolderTime:   s.HolderTime,
		LeaseLength:  plannerLeaseConfig().Length,
		LateCallTime: lateCallTime,
		CallTime:     callTime,
		RetryMin:     dutyRetryMin,
		RetryMax:     dutyRetryMax,
		RejectDelay:  dutyRejectDelay,
		UsageWindow:  s.UsageWindow,
		UsageDelay:   s.UsageDelay,
		StartedAt:    bootNow(),
	})
}

// stepDuties passes an event to the state machine of the duties and performs the actions that
// it returns. It does nothing if the settings ask for no duty. The control goroutine calls it.
func (n *Node) stepDuties(ev duty.Event) {
	if n.duties == nil {
		return
	}
	now := bootNow()
	actions := n.duties.Step(now, ev)
	for _, a := range actions {
		switch a := a.(type) {
		case duty.ReadRows:
			go n.readDutyRows(a)
		case duty.WriteRow:
			go n.writeDutyRow(a)
		case duty.Call:
			go n.callPlatform(a)
		case duty.LogEntry:
			n.log.WithFields(logrus.Fields{"duty": a.Kind.String(), "subject": a.Subject, "detail": a.Detail}).Info(a.Text)
		case duty.Count:
			n.metrics.Scope.Counter(string(a.Counter)).Inc(1)
		}
	}
	if _, isTick := ev.(duty.Tick); !isTick || len(actions) > 0 {
		status := n.duties.Status(now)
		n.dutyStatus.Store(&status)
	}
}

// readDutyRows reads the rows of the duties, which fit into one page, and posts the result.
func (n *Node) readDutyRows(r duty.ReadRows) {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	era := infra.EraOf(n.platform.Table)
	rows, err := n.platform.Table.Scan(ctx, duty.Table, "", scanPageSize)
	if err != nil || infra.EraOf(n.platform.Table) != era {
		n.post(dutyEvent{duty.ReadFailed(r)}) // The rows may be of two eras.
		return
	}
	n.post(dutyEvent{duty.RowsRead{Attempt: r.Attempt, Rows: rows, Era: era}})
}

// writeDutyRow performs a transaction of the duties and posts the outcome.
func (n *Node) writeDutyRow(w duty.WriteRow) {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	_, err := n.platform.Table.Txn(ctx, w.Txn)
	n.post(dutyEvent{duty.Written{Attempt: w.Attempt, Outcome: infra.OutcomeOf(err)}})
}

// callPlatform makes a call, and logs, counts and posts its outcome. It checks the time again,
// because the process may have been suspended since the decision.
func (n *Node) callPlatform(c duty.Call) {
	out := duty.Outcome{Result: duty.NotSent}
	began := bootNow()
	if remaining := c.Expires - began; remaining >= callTime/2 {
		ctx, cancel := context.WithTimeout(n.ctx, min(callTime, remaining))
		defer cancel()
		if c.Kind == duty.ReportUsage {
			out = n.platform.Calls.ReportUsage(ctx, UsageCall{Holder: n.settings.Instance, Token: c.Token, Window: c.Window, Counts: c.Counts})
		} else {
			out = n.platform.Calls.OrderServers(ctx, SizeCall{Holder: n.settings.Instance, Token: c.Token, Service: c.Service, DataCentre: c.DataCentre, Servers: c.Servers})
		}
	}
	fields := logrus.Fields{
		"duty": c.Kind.String(), "subject": c.Subject(), "token": uint64(c.Token), "outcome": out.Result.String(), "ms": (bootNow() - began).Milliseconds(),
	}
	if c.Kind == duty.OrderServers {
		fields["servers"], fields["reason"] = c.Servers, c.Reason
	}
	if out.Err != nil {
		fields["error"] = out.Err.Error()
	}
	n.log.WithFields(fields).Info("platform call")
	n.metrics.Scope.Tagged(map[string]string{"duty": c.Kind.String(), "outcome": out.Result.String()}).Counter("platform_calls_total").Inc(1)
	n.post(dutyEvent{duty.Called{Attempt: c.Attempt, Outcome: out}})
}

// serveDutyStatus serves the state of the duties as JSON.
func (n *Node) serveDutyStatus(w http.ResponseWriter, _ *http.Request) {
	status := n.dutyStatus.Load()
	if status == nil {
		status = &duty.Status{}
	}
	body, err := json.Marshal(status)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // Fails only if the client has disconnected.
}
