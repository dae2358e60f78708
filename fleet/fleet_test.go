package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Entries and removals that arrive late must not replace newer entries.
func TestNewerEntriesWin(t *testing.T) {
	l := NewList()
	assert.Assert(t, l.Put(Server{ID: "a", Version: 5, Draining: true}))
	assert.Assert(t, !l.Put(Server{ID: "a", Version: 4}))
	assert.Assert(t, !l.Remove("a", 4))
	s, ok := l.Snapshot().Get("a")
	assert.Assert(t, ok && s.Draining)
	assert.Assert(t, l.Remove("a", 6))
	assert.Assert(t, !l.Remove("a", 7))
}

// A snapshot does not change with the list.
func TestSnapshotIsImmutable(t *testing.T) {
	l := NewList()
	l.Put(Server{ID: "b", Version: 1})
	l.Put(Server{ID: "a", Version: 2})
	before := l.Snapshot()
	l.Remove("a", 3)
	l.Put(Server{ID: "b", Version: 4, Draining: true})
	assert.Equal(t, len(before.Servers), 2)
	assert.Equal(t, string(before.Servers[0].ID), "a")
	assert.Assert(t, !before.Servers[1].Draining)
	assert.Equal(t, len(l.Snapshot().Servers), 1)
}

func TestCold(t *testing.T) {
	s := Server{ColdUntil: 3 * time.Second}
	assert.Assert(t, s.Cold(2*time.Second))
	assert.Assert(t, !s.Cold(3*time.Second))
}
