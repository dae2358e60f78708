package routing

import "github.com/bulrushfall/bulrushfall/ident"

// maxProven bounds the requests per generation that are known to have ended
// well. Two generations are kept.
const maxProven = 4096

// copyRun counts the copies of a request at one group.
type copyRun struct {
	id    ident.GroupID
	count int
}

// Copies knows where the copies of a request run at one entry instance. Until
// one of them has ended well, further copies belong where others run already:
// if the request crashes backend servers, they cost no more of them.
type Copies struct {
	runs map[ident.Fingerprint][]copyRun
	// young and old are generations of requests that ended well.
	young, old map[ident.Fingerprint]struct{}
}

// NewCopies returns an empty record.
func NewCopies() *Copies {
	return &Copies{
		runs:  make(map[ident.Fingerprint][]copyRun),
		young: make(map[ident.Fingerprint]struct{}),
	}
}

// RecordStart notes a copy at a group. Fingerprint 0 stands for no fingerprint.
func (c *Copies) RecordStart(f ident.Fingerprint, id ident.GroupID) {
	if f == 0 {
		return
	}
	runs := c.runs[f]
	for i := range runs {
		if runs[i].id == id {
			runs[i].count++
			return
		}
	}
	c.runs[f] = append(runs, copyRun{id, 1})
}

// RecordEnd notes the end of a copy at a group, and whether the request ended well
// there.
func (c *Copies) RecordEnd(f ident.Fingerprint, id ident.GroupID, well bool) {
	if f == 0 {
		return
	}
	runs := c.runs[f]
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
		delete(c.runs, f)
	} else {
		c.runs[f] = runs
	}
	if well {
		c.prove(f)
	}
}

// ForgetSuccess forgets that a request ended well, after a crash of a group that ran it.
func (c *Copies) ForgetSuccess(f ident.Fingerprint) {
	delete(c.young, f)
	delete(c.old, f)
}

// KeepTogether reports whether further copies belong where others run already.
func (c *Copies) KeepTogether(f ident.Fingerprint) bool { return len(c.runs[f]) > 0 && !c.proven(f) }

// RendezvousFingerprint is the fingerprint for Request: 0 once a copy has ended well, because
// a popular request must spread evenly.
func (c *Copies) RendezvousFingerprint(f ident.Fingerprint) ident.Fingerprint {
	if c.proven(f) {
		return 0
	}
	return f
}

// RunsAt reports whether a copy runs at a group.
func (c *Copies) RunsAt(f ident.Fingerprint, id ident.GroupID) bool {
	for _, r := range c.runs[f] {
		if r.id == id {
			return true
		}
	}
	return false
}

// Running is the number of requests that run.
func (c *Copies) Running() int { return len(c.runs) }

func (c *Copies) proven(f ident.Fingerprint) bool {
	_, young := c.young[f]
	_, old := c.old[f]
	return young || old
}

func (c *Copies) prove(f ident.Fingerprint) {
	if len(c.young) >= maxProven {
		c.old, c.young = c.young, make(map[ident.Fingerprint]struct{}, maxProven)
	}
	c.young[f] = struct{}{}
}
