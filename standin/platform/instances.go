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

// InstanceChange registers, removes or marks instances. A change shows in the
// list after the lag, unless Immediate is set.
type InstanceChange struct {
	Put       []infra.Instance   `json:"put,omitempty"`
	Remove    []ident.InstanceID `json:"remove,omitempty"`
	Leaving   []ident.InstanceID `json:"leaving,omitempty"`
	Immediate bool               `json:"now,omitempty"`
}

type pendingChange struct {
	at     time.Time
	change InstanceChange
}

// instanceList shows each change after a lag.
type instanceList struct {
	lag time.Duration

	mu      sync.Mutex
	visible map[ident.InstanceID]infra.Instance
	pending []pendingChange
	// run and version make the entity tag. A stand-in that starts again has
	// another list.
	run     uint64
	version uint64
}

func newInstanceList(lag time.Duration) *instanceList {
	return &instanceList{lag: lag, visible: make(map[ident.InstanceID]infra.Instance), run: rand.Uint64()}
}

// tag is the entity tag of what is visible now.
func (l *instanceList) tag() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.show(time.Now())
	return l.tagLocked()
}

// tagLocked is tag without the changes that became visible since the last read.
// The caller holds l.mu.
func (l *instanceList) tagLocked() string { return fmt.Sprintf(`"%x-%d"`, l.run, l.version) }

func (l *instanceList) change(c InstanceChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := time.Now().Add(l.lag)
	if c.Immediate {
		// Changes keep their order: an immediate one makes the earlier visible too.
		at = time.Now()
		for i := range l.pending {
			l.pending[i].at = at
		}
	}
	l.pending = append(l.pending, pendingChange{at: at, change: c})
}

// show applies the changes whose lag is over. The caller holds l.mu.
func (l *instanceList) show(now time.Time) {
	for len(l.pending) > 0 && !l.pending[0].at.After(now) {
		l.apply(l.pending[0].change)
		l.pending = l.pending[1:]
		l.version++
	}
}

// read returns the visible instances and their entity tag.
func (l *instanceList) read() ([]infra.Instance, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.show(time.Now())
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
