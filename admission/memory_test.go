package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
)

// TestMemoryAccount guards against an account of held bytes that exceeds its limit, that counts a
// release twice or never, or that lets one service or one account use the room of the others.
func TestMemoryAccount(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		const limit = 40 << 20
		m := NewMemory(limit)
		type holding struct {
			*MemoryHold
			bytes int64
		}
		var holds []holding
		expected := int64(0)
		size := func() int64 {
			if rng.IntN(2) == 0 {
				return rng.Int64N(SmallHoldBytes + 1)
			}
			return rng.Int64N(6 << 20)
		}
		for range 3000 {
			i := rng.IntN(len(holds) + 1)
			switch {
			case i == len(holds) || rng.IntN(3) == 0:
				n := size()
				o := MemoryOwner{Service: ident.ServiceName(fmt.Sprint(rng.IntN(4))), Account: ident.Account([]string{"", "a", "b"}[rng.IntN(3)])}
				if h, ok := m.Reserve(o, n); ok {
					holds = append(holds, holding{h, n})
					expected += n
				} else {
					h.Release()
				}
			case rng.IntN(2) == 0:
				n := size()
				if holds[i].Resize(n) {
					expected += n - holds[i].bytes
					holds[i].bytes = n
				} else {
					assert.Assert(t, n > holds[i].bytes, "seed %d: a hold does not shrink", seed)
				}
			default:
				holds[i].Release()
				holds[i].Release()
				assert.Assert(t, !holds[i].Resize(1), "a released hold grows")
				expected -= holds[i].bytes
				holds[i] = holds[len(holds)-1]
				holds = holds[:len(holds)-1]
			}
			assert.Equal(t, m.Used(), expected, "seed %d", seed)
			assert.Assert(t, m.Used() <= limit && m.small.used <= m.small.limit && m.large.used <= m.large.limit, "seed %d", seed)
		}
		for _, h := range holds {
			h.Release()
		}
		assert.Equal(t, m.Used(), int64(0), "seed %d", seed)
		assert.Equal(t, len(m.small.byService)+len(m.large.byService)+len(m.small.byAccount)+len(m.large.byAccount), 0)
	}
}

// TestMemoryLeavesRoom guards against one service or account that takes all of the memory.
func TestMemoryLeavesRoom(t *testing.T) {
	const limit, body = 100 << 20, 4 << 20
	fill := func(m *Memory, o MemoryOwner, size int64) (n int64) {
		for {
			if _, ok := m.Reserve(o, size); !ok {
				return n
			}
			n += size
		}
	}
	for _, size := range []int64{SmallHoldBytes, body} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			m := NewMemory(limit)
			slow := fill(m, MemoryOwner{Service: "slow", Account: "a"}, size)
			assert.Assert(t, slow > 0)
			own := fill(m, MemoryOwner{Service: "sound", Account: "a"}, size)
			assert.Assert(t, own >= size, "the account has room at another service")
			other := fill(m, MemoryOwner{Service: "second", Account: "b"}, size)
			assert.Assert(t, other >= size, "another account has room")
			third := fill(m, MemoryOwner{Service: "third", Account: "c"}, size)
			assert.Assert(t, third >= size, "another service has room")
		})
	}
	m := NewMemory(limit)
	for i := range 50 {
		fill(m, MemoryOwner{Service: ident.ServiceName(fmt.Sprint(i)), Account: ident.Account(fmt.Sprint(i))}, body)
	}
	_, ok := m.Reserve(MemoryOwner{Service: "0", Account: "0"}, SmallHoldBytes)
	assert.Assert(t, ok, "small bodies have room of their own")
}
