package platform

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// InstanceChange registers instances, removes them or marks them as leaving. A change
// becomes visible after the lag, or at once if Immediate is set.
type InstanceChange struct {
	Put       []infra.Instance   `json:"put,omitempty"`
	Remove    []ident.InstanceID `json:"remove,omitempty"`
	Leaving   []ident.InstanceID `json:"leaving,omitempty"`
	Immediate bool               `json:"now,omitempty"`
}

type pendingChange struct {
	visibleAt time.Time
	change    InstanceChange
}

// instanceList is a list of instances in which each change becomes visible after a
// lag.
type instanceList struct {
	lag time.Duration

	mu      sync.Mutex
	visible map[ident.InstanceID]infra.Instance
	pending []pendingChange
	// runID and version make up the entity tag. runID is random, because the list is
	// a different one after a restart.
	runID   uint64
	version uint64
}

func newInstanceList(lag time.Duration) *instanceList {
	return &instanceList{lag: lag, visible: make(map[ident.InstanceID]infra.Instance), runID: rand.Uint64()}
}

// tag returns the entity tag of the instances that are visible now.
func (l *instanceList) tag() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyPending(time.Now())
	return l.tagLocked()
}

// tagLocked returns the entity tag without applying pending changes first. The
// caller holds l.mu.
func (l *instanceList) tagLocked() string { return fmt.Sprintf(`"%x-%d"`, l.runID, l.version) }

func (l *instanceList) change(c InstanceChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := time.Now().Add(l.lag)
	if c.Immediate {
		// Changes apply in order: an immediate change makes earlier ones visible too.
		at = time.Now()
		for i := range l.pending {
			l.pending[i].visibleAt = at
		}
	}
	l.pending = append(l.pending, pendingChange{visibleAt: at, change: c})
}

// applyPending applies the changes whose lag has passed. The caller holds l.mu.
func (l *instanceList) applyPending(now time.Time) {
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		l.apply(l.pending[0].change)
		l.pending = l.pending[1:]
		l.version++
	}
}

// snapshot returns the visible instances, sorted by ID, and their entity tag.
func (l *instanceList) snapshot() ([]infra.Instance, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyPending(time.Now())
	out := make([]infra.Instance, 0, len(l.visible))
	for _, i := range l.visible {
		out = append(out, i)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out, l.tagLocked()
}

func (l *instanceList) apply(c InstanceChange) {
	for _, i := range c.Put {
		if i.State == "" {
			i.State = infra.StateLive
		}
		l.visible[i.ID] = i
	}
	for _, id := range c.Remove {
		delete(l.visible, id)
	}
	for _, id := range c.Leaving {
		if i, ok := l.visible[id]; ok {
			i.State = infra.StateLeaving
			l.visible[id] = i
		}
	}
}
