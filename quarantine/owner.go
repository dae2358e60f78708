package quarantine

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// OwnerOf returns the entry instance that serialises the isolated runs of a
// suspect: among the live ones, the one with the highest rendezvous score. It
// returns "" if live is empty.
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

// Permission is the owner's answer to an entry instance that wants to run a
// suspect.
type Permission int

// Permissions.
const (
	// PermitIsolated allows one isolated run.
	PermitIsolated Permission = iota + 1
	// PermitShared allows a run with others: the request is not a suspect.
	PermitShared
	// PermitRetryLater means that the caller has to try again later: another run of
	// the request is in progress.
	PermitRetryLater
	// PermitRefused refuses the run: the request is convicted.
	PermitRefused
	// PermitNeedsProbe is only for the entry instance that owns the suspect. It has
	// to probe all live entry instances (see Tracker.Probe) and pass the result to
	// Owner.CompleteProbe.
	PermitNeedsProbe
)

// RunResult is the result of a run.
type RunResult int

// Results of a run.
const (
	// RunInconclusive means that the run did not reach a backend server or was
	// cancelled.
	RunInconclusive RunResult = iota
	// RunSucceeded means that the run ended without a crash, which clears the
	// request.
	RunSucceeded
	// RunCrashed means that the backend server crashed, which convicts the request
	// after an isolated run.
	RunCrashed
	// RunUnconfirmed means that the response looks whole, but ended with its connection, as
	// that of a crashed backend server does.
	RunUnconfirmed
)

// run is an isolated run that an entry instance has requested or started.
type run struct {
	holder    Holder
	expiresAt time.Duration
	// probed is set when the probe has shown that no entry instance runs the
	// request. Until then, nothing has been sent to a backend server.
	probed bool
}

// Owner serialises the isolated runs of the suspects that an entry instance owns.
type Owner struct {
	tracker *Tracker
	runs    map[ident.Fingerprint]run
}

// NewOwner returns an owner that shares the tracker of its entry instance.
func NewOwner(t *Tracker) *Owner {
	return &Owner{tracker: t, runs: make(map[ident.Fingerprint]run)}
}

// Acquire requests an isolated run, or renews it for the same holder. The parameter
// age is how long the request has been a suspect at the requesting entry instance.
func (o *Owner) Acquire(now time.Duration, f ident.Fingerprint, h Holder, age time.Duration) Permission {
	o.expireRuns(now)
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
		o.runs[f] = run{holder: h, expiresAt: now + o.tracker.cfg.RunLease}
		return PermitNeedsProbe
	case r.holder != h || !r.probed:
		return PermitRetryLater
	}
	r.expiresAt = now + o.tracker.cfg.RunLease
	o.runs[f] = r
	return PermitIsolated
}

// CompleteProbe completes the probe that PermitNeedsProbe demands. notRunning
// means that all live entry instances have answered and that none of them runs the
// request. An entry instance that missed the crash may run it together with
// others; an isolated run at the same time could crash a third backend server.
func (o *Owner) CompleteProbe(now time.Duration, f ident.Fingerprint, h Holder, notRunning bool) Permission {
	r, ok := o.runs[f]
	if !ok || r.holder != h {
		return PermitRetryLater
	}
	status := o.tracker.Status(now, f)
	if status == Suspect && notRunning {
		r.probed = true
		o.runs[f] = r
		return PermitIsolated
	}
	delete(o.runs, f)
	switch status {
	case Convicted:
		return PermitRefused
	case NotSuspect:
		return PermitShared
	default:
		return PermitRetryLater
	}
}

// Release ends an isolated run. It returns the finding to send to all entry
// instances, and false if there is none.
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

// expireRuns deletes the isolated runs that were not renewed in time, and convicts
// the request if the run was probed. The backend server of the run may have
// crashed, and the holder may be lost as well; another run could then crash a
// third backend server.
func (o *Owner) expireRuns(now time.Duration) {
	for f, r := range o.runs {
		if now < r.expiresAt {
			continue
		}
		delete(o.runs, f)
		if r.probed {
			o.tracker.Apply(now, Finding{Fingerprint: f, Status: Convicted})
		}
	}
}
