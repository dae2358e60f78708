package duty

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Status describes the duties for operators.
type Status struct {
	Holder bool        `json:"holder"`
	Epoch  ident.Epoch `json:"epoch,omitempty"`
	// WaitMs is the time until this holder makes its first call.
	WaitMs int64 `json:"wait_ms"`
	// Outdated names the duties that end until the lease is acquired again, because the platform
	// has seen a higher token.
	Outdated []string       `json:"outdated,omitempty"`
	Windows  []WindowStatus `json:"windows"`
	Sizes    []SizeStatus   `json:"sizes"`
}

// WindowStatus describes a usage window. Settled means that its report was accepted or is no
// longer due.
type WindowStatus struct {
	Window   int64  `json:"window"`
	Requests uint64 `json:"requests"`
	Stored   bool   `json:"stored"`
	Settled  bool   `json:"settled"`
}

// SizeStatus describes the wanted number of backend servers of a service in a data centre.
// Ordered is the number in the last order, and Settled is true if the platform has done it.
type SizeStatus struct {
	Service    ident.ServiceName `json:"service"`
	DataCentre ident.DataCentre  `json:"data_centre"`
	Wanted     int               `json:"wanted"`
	Ordered    *int              `json:"ordered"`
	Settled    bool              `json:"settled"`
	Token      Token             `json:"token"`
	Reason     string            `json:"reason"`
}

// Status returns a description of the present state.
func (m *Machine) Status(now time.Duration) Status {
	s := Status{Holder: m.held && now < m.grant.Expires, Windows: []WindowStatus{}, Sizes: []SizeStatus{}}
	if s.Holder {
		s.Epoch, s.WaitMs = m.grant.Epoch, max(0, m.callsFrom-now).Milliseconds()
	}
	for _, k := range []Kind{ReportUsage, OrderServers} {
		if m.outdated[k] {
			s.Outdated = append(s.Outdated, k.String())
		}
	}
	for _, w := range m.usage.windows {
		requests := uint64(0)
		for _, count := range w.counts {
			requests += count
		}
		s.Windows = append(s.Windows, WindowStatus{Window: w.number, Requests: requests, Stored: w.stored, Settled: w.settled})
	}
	for _, z := range m.sizes {
		out := SizeStatus{Service: z.service, DataCentre: z.dataCentre, Wanted: z.wanted, Settled: z.settled, Reason: z.reason}
		if z.sent {
			ordered := z.ordered
			out.Ordered, out.Token = &ordered, m.token(z.sequence)
		}
		s.Sizes = append(s.Sizes, out)
	}
	return s
}
