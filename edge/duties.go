package edge

import (
	"context"

	"github.com/bulrushfall/bulrushfall/duty"
	"github.com/bulrushfall/bulrushfall/ident"
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

// stepDuties passes an event to the state machine of the duties and performs the actions that
// it returns. It does nothing if the settings ask for no duty. The control goroutine calls it.
func (n *Node) stepDuties(ev duty.Event) {
	if n.duties == nil {
		return
	}
	for range n.duties.Step(bootNow(), ev) {
	}
}
