// Package activity counts the requests that began to run at backend servers, by window of
// true time and client account, and the demand for models. Each entry instance has a
// Ledger and sends a Report of it with its beacons. The relays of a data centre add the
// reports up in a Collector, and one instance merges the sums of all data centres in
// Totals.
//
// The package answers two failures. Reports are lost, repeated and reordered, and their
// senders, the relays or the merging instance may end at any time: all counts are
// cumulative for a run of the process and merged by their maximum, so that any later copy
// of a report repairs the loss of an earlier one. And a window must be reported once only,
// near the truth: each count carries the total that it belongs to, so that a sum knows
// whether it is complete.
//
// The types are not safe for concurrent use and do no I/O. All times are true time since
// 1970, unless stated otherwise.
package activity

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Windows describe the windows in which runs are counted. Window k begins at k times Length.
type Windows struct {
	Length time.Duration
	// Delay is the time from the end of a window until its report is due. A window is open
	// until then.
	Delay time.Duration
}

// At returns the window of a time.
func (w Windows) At(t time.Duration) int64 { return int64(t / w.Length) }

// Start and End return the bounds of a window.
func (w Windows) Start(k int64) time.Duration { return time.Duration(k) * w.Length }

// End returns the end of a window.
func (w Windows) End(k int64) time.Duration { return time.Duration(k+1) * w.Length }

// isOpen reports whether the report of a window is not due yet and the window has begun. A
// sender's clock may be ahead by up to a window.
func (w Windows) isOpen(k int64, now time.Duration) bool {
	return w.Length > 0 && now < w.End(k)+w.Delay && w.Start(k) <= now+w.Length
}

// Run is one run of the process of an entry instance.
type Run struct {
	Instance    ident.InstanceID
	Incarnation ident.Incarnation
}

// countFields is the number of fields of an encoded Count.
const countFields = 2

// Count is a number of runs of an account's requests.
type Count struct {
	Account ident.Account
	Runs    uint64
}

// EncodeMsgpack writes the fields as an array. A message of package wire has to consist of
// single values.
func (c Count) EncodeMsgpack(enc *msgpack.Encoder) error {
	if err := enc.EncodeArrayLen(countFields); err != nil {
		return errors.Wrap(err, "encode count")
	}
	return errors.Wrap(enc.EncodeMulti(string(c.Account), c.Runs), "encode count")
}

// DecodeMsgpack reads what EncodeMsgpack writes.
func (c *Count) DecodeMsgpack(dec *msgpack.Decoder) error {
	if n, err := dec.DecodeArrayLen(); err != nil || n != countFields {
		return errors.Errorf("count has %d fields, want %d: upgrade the sender (%v)", n, countFields, err)
	}
	return errors.Wrap(dec.DecodeMulti((*string)(&c.Account), &c.Runs), "decode count")
}

// WindowCounts are counts of one window: some of those of a sender, whose sum over all
// accounts is Total.
type WindowCounts struct {
	Window int64   `msgpack:"w"`
	Total  uint64  `msgpack:"t"`
	Counts []Count `msgpack:"c"`
}

// ModelKey identifies a model of a service. The model is empty for services without models.
type ModelKey struct {
	Service ident.ServiceName `msgpack:"s"`
	Model   string            `msgpack:"m"`
}

// Demand is what callers asked of a model: valid requests, those of them that were refused
// because no backend server had capacity, and the prompt tokens of all.
type Demand struct {
	Requests     uint64 `msgpack:"r"`
	Refused      uint64 `msgpack:"f"`
	PromptTokens uint64 `msgpack:"p"`
}

// ModelDemand is the demand for one model since the sender's process started.
type ModelDemand struct {
	ModelKey
	Demand
}

// Report is what an entry instance sends to the others.
type Report struct {
	// Time is the sender's estimate of the true time.
	Time time.Duration `msgpack:"t"`
	// Since is when the sender's run began. It is 0 in most reports.
	Since time.Duration `msgpack:"s"`
	// Windows are the open windows with runs. Their counts are those that have changed and
	// a part of the others.
	Windows []WindowCounts `msgpack:"w"`
	// Models is empty in most reports.
	Models []ModelDemand `msgpack:"m"`
}

// Shrunk returns a copy of a report with at most half of its counts. The totals show the
// receiver that some are missing.
func (r *Report) Shrunk() *Report {
	out := &Report{Time: r.Time, Since: r.Since, Models: r.Models}
	for _, w := range r.Windows {
		w.Counts = w.Counts[:len(w.Counts)/2]
		out.Windows = append(out.Windows, w)
	}
	if r.Counts() == 0 {
		out.Models = nil
	}
	return out
}

// Counts returns the number of counts in the report.
func (r *Report) Counts() int {
	n := 0
	for _, w := range r.Windows {
		n += len(w.Counts)
	}
	return n
}

// sortedCounts returns the counts of a map in the order of the accounts.
func sortedCounts(m map[ident.Account]uint64) []Count {
	out := make([]Count, 0, len(m))
	for a, n := range m {
		out = append(out, Count{a, n})
	}
	slices.SortFunc(out, func(a, b Count) int { return cmp.Compare(a.Account, b.Account) })
	return out
}
