package quarantine

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// OwnerOf returns the live entry instance that serialises the runs of a
// suspect: the one with the highest rendezvous score. It returns "" if there
// is none.
func OwnerOf(f ident.Fingerprint, live []ident.InstanceID) ident.InstanceID {
	var owner ident.InstanceID
	var best uint64
	key := f.String()
	for _, id := range live {
		if s := ident.Score(key, id); owner == "" || s > best || (s == best && id > owner) {
			owner, best = id, s
		}
	}
	return owner
}

// Holder identifies one run of a suspect at an entry instance.
type Holder struct {
	Entry       ident.InstanceID  `msgpack:"e"`
	Incarnation ident.Incarnation `msgpack:"n"`
	Attempt     ident.AttemptID   `msgpack:"a"`
}

// Permission is the answer to a request to run a suspect.
type Permission int

// Permissions.
const (
	// PermitIsolated allows one run as the only suspect on the backend server.
	PermitIsolated Permission = iota + 1
	// PermitShared allows a run with others: the request is not a suspect.
	PermitShared
	// PermitRetryLater asks to try again: another run of the request is under way.
	PermitRetryLater
	// PermitRefused refuses: the request is convicted.
	PermitRefused
	// PermitNeedsProbe is for the owner itself: it has to ask all live entry instances
	// with Tracker.Probe and pass the result to Owner.CompleteProbe.
	PermitNeedsProbe
)

// RunResult tells how a run alone ended.
type RunResult int

// Results of a run alone.
const (
	// RunInconclusive did not reach a backend server or was cancelled.
	RunInconclusive RunResult = iota
	// RunSucceeded clears the request.
	RunSucceeded
	// RunCrashed convicts the request.
	RunCrashed
)

type run struct {
	holder Holder
	until  time.Duration
	// asked is set once no other entry instance runs the request. Until then
	// nothing was sent to a backend server.
	asked bool
}

// Owner serialises the runs of the suspects that an entry instance owns.
type Owner struct {
	tracker *Tracker
	runs    map[ident.Fingerprint]run
}

// NewOwner returns an owner that shares the tracker of its entry instance.
func NewOwner(t *Tracker) *Owner {
	return &Owner{tracker: t, runs: make(map[ident.Fingerprint]run)}
}

// Acquire asks for a run alone, or renews it for the same holder. Age is how
// long the asking entry instance has held the request for a suspect.
func (o *Owner) Acquire(now time.Duration, f ident.Fingerprint, h Holder, age time.Duration) Permission {
	o.lapse(now)
	o.tracker.Apply(now, Finding{Fingerprint: f, Status: Suspect, Age: age})
	switch o.tracker.Status(now, f) {
	case Convicted:
		return PermitRefused
	case NotSuspect:
		return PermitShared
	}
	r, ok := o.runs[f]
	switch {
	case !ok:
		o.runs[f] = run{holder: h, until: now + o.tracker.cfg.RunLease}
		return PermitNeedsProbe
	case r.holder != h || !r.asked:
		return PermitRetryLater
	}
	r.until = now + o.tracker.cfg.RunLease
	o.runs[f] = r
	return PermitIsolated
}

// CompleteProbe ends the question that PermitNeedsProbe asked for. NotSuspect tells that all live
// entry instances answered and that none of them runs the request. One that
// missed the crash may run it with others; a run alone at the same time would
// cost a third backend server.
func (o *Owner) CompleteProbe(now time.Duration, f ident.Fingerprint, h Holder, free bool) Permission {
	r, ok := o.runs[f]
	if !ok || r.holder != h {
		return PermitRetryLater
	}
	standing := o.tracker.Status(now, f)
	if standing == Suspect && free {
		r.asked = true
		o.runs[f] = r
		return PermitIsolated
	}
	delete(o.runs, f)
	switch standing {
	case Convicted:
		return PermitRefused
	case NotSuspect:
		return PermitShared
	default:
		return PermitRetryLater
	}
}

// Release ends a run alone. It returns the finding to spread; ok is false when
// there is none.
func (o *Owner) Release(now time.Duration, f ident.Fingerprint, h Holder, result RunResult) (Finding, bool) {
	if r, ok := o.runs[f]; ok && r.holder == h {
		delete(o.runs, f)
	}
	finding := Finding{Fingerprint: f}
	switch result {
	case RunSucceeded:
		finding.Status = NotSuspect
	case RunCrashed:
		finding.Status = Convicted
	default:
		return Finding{}, false
	}
	o.tracker.Apply(now, finding)
	return finding, true
}

// lapse convicts the requests whose run was not renewed. The holder may have
// lost its backend server and itself; a further run could cost a third one.
func (o *Owner) lapse(now time.Duration) {
	for f, r := range o.runs {
		if now < r.until {
			continue
		}
		delete(o.runs, f)
		if r.asked {
			o.tracker.Apply(now, Finding{Fingerprint: f, Status: Convicted})
		}
	}
}
