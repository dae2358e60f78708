package routing

import "github.com/bulrushfall/bulrushfall/ident"

// maxSucceeded bounds the fingerprints per generation of requests that have
// succeeded. Two generations are kept.
const maxSucceeded = 4096

// groupCopies counts the copies of a request at one group.
type groupCopies struct {
	id    ident.GroupID
	count int
}

// Copies records where the copies of each request run: requests with the same
// fingerprint from one entry instance. Until one copy has succeeded, further
// copies should run on the groups that already run one. If the request crashes
// backend servers, the further copies then crash no additional ones.
type Copies struct {
	running map[ident.Fingerprint][]groupCopies
	// newer and older are two generations of fingerprints of requests that have
	// succeeded.
	newer, older map[ident.Fingerprint]struct{}
}

// NewCopies returns a Copies without running requests.
func NewCopies() *Copies {
	return &Copies{
		running: make(map[ident.Fingerprint][]groupCopies),
		newer:   make(map[ident.Fingerprint]struct{}),
	}
}

// RecordStart records that a copy started at a group. It ignores requests without a
// fingerprint, whose value is 0.
func (c *Copies) RecordStart(f ident.Fingerprint, id ident.GroupID) {
	if f == 0 {
		return
	}
	runs := c.running[f]
	for i := range runs {
		if runs[i].id == id {
			runs[i].count++
			return
		}
	}
	c.running[f] = append(runs, groupCopies{id, 1})
}

// RecordEnd records that a copy ended at a group, and whether it succeeded.
func (c *Copies) RecordEnd(f ident.Fingerprint, id ident.GroupID, success bool) {
	if f == 0 {
		return
	}
	runs := c.running[f]
	for i := range runs {
		if runs[i].id != id {
			continue
		}
		if runs[i].count--; runs[i].count == 0 {
			runs = append(runs[:i], runs[i+1:]...)
		}
		break
	}
	if len(runs) == 0 {
		delete(c.running, f)
	} else {
		c.running[f] = runs
	}
	if success {
		c.recordSuccess(f)
	}
}

// ForgetSuccess removes the record that a request has succeeded. Call it after a crash of a
// group that ran the request.
func (c *Copies) ForgetSuccess(f ident.Fingerprint) {
	delete(c.newer, f)
	delete(c.older, f)
}

// KeepTogether reports whether further copies of a request should run only on groups
// that already run one: a copy is running and none has succeeded.
func (c *Copies) KeepTogether(f ident.Fingerprint) bool {
	return len(c.running[f]) > 0 && !c.succeeded(f)
}

// RendezvousFingerprint returns the value for Request.Fingerprint. It is 0 after a copy has
// succeeded, because a popular request has to be distributed over the groups.
func (c *Copies) RendezvousFingerprint(f ident.Fingerprint) ident.Fingerprint {
	if c.succeeded(f) {
		return 0
	}
	return f
}

// RunsAt reports whether a copy runs at a group.
func (c *Copies) RunsAt(f ident.Fingerprint, id ident.GroupID) bool {
	for _, r := range c.running[f] {
		if r.id == id {
			return true
		}
	}
	return false
}

// Running returns the number of different requests that are running.
func (c *Copies) Running() int { return len(c.running) }

func (c *Copies) succeeded(f ident.Fingerprint) bool {
	_, newer := c.newer[f]
	_, older := c.older[f]
	return newer || older
}

func (c *Copies) recordSuccess(f ident.Fingerprint) {
	if len(c.newer) >= maxSucceeded {
		c.older, c.newer = c.newer, make(map[ident.Fingerprint]struct{}, maxSucceeded)
	}
	c.newer[f] = struct{}{}
}
