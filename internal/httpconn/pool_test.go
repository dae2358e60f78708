package httpconn

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// pooledConn is a connection in a pool.
type pooledConn struct{ dead, closed bool }

func (c *pooledConn) Alive() bool { return !c.dead }

func (c *pooledConn) Close() error {
	c.closed = true
	return nil
}

// TestPool guards against a pool that returns a connection that has ended or belongs to another
// key, and against idle connections without a limit in number and time.
func TestPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool[string, *pooledConn](2, time.Minute)
		conns := []*pooledConn{{}, {}, {}, {}}
		p.Put("a", conns[0])
		p.Put("a", conns[1])
		p.Put("a", conns[2])
		assert.Assert(t, conns[2].closed && !conns[1].closed)
		_, ok := p.Get("b")
		assert.Assert(t, !ok)
		conns[1].dead = true
		c, ok := p.Get("a")
		assert.Assert(t, ok && c == conns[0] && conns[1].closed)
		_, ok = p.Get("a")
		assert.Assert(t, !ok)

		p.Put("a", conns[0])
		time.Sleep(45 * time.Second)
		p.Put("b", conns[3])
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Assert(t, conns[0].closed && !conns[3].closed)
		p.CloseIdle(func(key string) bool { return key == "a" })
		assert.Assert(t, !conns[3].closed)
		p.CloseIdle(func(key string) bool { return key == "b" })
		assert.Assert(t, conns[3].closed)

		last := []*pooledConn{{}, {}}
		p.Put("a", last[0])
		p.Close()
		p.Put("a", last[1])
		assert.Assert(t, last[0].closed && last[1].closed)
	})
}
