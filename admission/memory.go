package admission

import "github.com/bulrushfall/bulrushfall/ident"

// Parameters of a Memory.
const (
	// SmallHoldBytes is the size up to which a hold is small.
	SmallHoldBytes = 64 << 10
	// smallShare is the share of the limit that only small holds can use.
	smallShare = 0.2
	// serviceShare and accountShare are the shares of what the others leave free that one service
	// and one client account can use.
	serviceShare = 0.5
	accountShare = 0.75
)

// MemoryOwner is what bytes are held for. An empty account stands for no account.
type MemoryOwner struct {
	Service ident.ServiceName
	Account ident.Account
}

// Memory is the account of the bytes that an entry instance holds for requests and responses. It
// keeps room for other services and accounts, and for small holds: one service whose backend
// servers or callers are slow can't use all of it.
type Memory struct{ small, large memoryPool }

// memoryPool is a part of a Memory.
type memoryPool struct {
	limit, used int64
	byService   map[ident.ServiceName]int64
	byAccount   map[ident.Account]int64
}

// MemoryHold is a number of bytes held for one owner. The zero value is released.
type MemoryHold struct {
	memory *Memory
	owner  MemoryOwner
	bytes  int64
	// pool is the part that the bytes are counted in.
	pool *memoryPool
}

// NewMemory returns an account with a limit in bytes.
func NewMemory(limit int64) *Memory {
	small := int64(smallShare * float64(limit))
	return &Memory{small: newMemoryPool(small), large: newMemoryPool(limit - small)}
}

func newMemoryPool(limit int64) memoryPool {
	return memoryPool{limit: limit, byService: make(map[ident.ServiceName]int64), byAccount: make(map[ident.Account]int64)}
}

// Used returns the number of bytes held.
func (m *Memory) Used() int64 { return m.small.used + m.large.used }

// Reserve returns a hold of bytes for an owner, and whether they fit.
func (m *Memory) Reserve(owner MemoryOwner, bytes int64) (*MemoryHold, bool) {
	h := &MemoryHold{memory: m, owner: owner, pool: &m.small}
	return h, h.Resize(bytes)
}

// Bytes returns the size of the hold.
func (h *MemoryHold) Bytes() int64 { return h.bytes }

// Resize changes the size of a hold that is not released and reports whether that fits. If it
// doesn't, the hold stays as it is. A hold can always shrink.
func (h *MemoryHold) Resize(bytes int64) bool {
	if h.memory == nil || bytes < 0 {
		return false
	}
	from, to := h.pool, h.memory.poolFor(bytes)
	if bytes < h.bytes {
		to = from // The small part may be full.
	}
	from.add(h.owner, -h.bytes)
	if bytes > h.bytes && !to.fits(h.owner, bytes) {
		from.add(h.owner, h.bytes)
		return false
	}
	to.add(h.owner, bytes)
	h.pool, h.bytes = to, bytes
	return true
}

// Release ends the hold. Further calls do nothing.
func (h *MemoryHold) Release() {
	if h == nil || h.memory == nil {
		return
	}
	h.pool.add(h.owner, -h.bytes)
	h.memory, h.bytes = nil, 0
}

// poolFor returns the part that a hold of a size belongs to.
func (m *Memory) poolFor(bytes int64) *memoryPool {
	if bytes <= SmallHoldBytes {
		return &m.small
	}
	return &m.large
}

// fits reports whether an owner may hold further bytes.
func (p *memoryPool) fits(o MemoryOwner, bytes int64) bool {
	return p.used+bytes <= p.limit && p.sharesFit(p.byService[o.Service], bytes, serviceShare) &&
		(o.Account == "" || p.sharesFit(p.byAccount[o.Account], bytes, accountShare))
}

func (p *memoryPool) sharesFit(own, bytes int64, share float64) bool {
	return float64(own+bytes) <= share*float64(p.limit-(p.used-own))
}

func (p *memoryPool) add(o MemoryOwner, bytes int64) {
	p.used += bytes
	addOrDelete(p.byService, o.Service, bytes)
	if o.Account != "" {
		addOrDelete(p.byAccount, o.Account, bytes)
	}
}

func addOrDelete[K comparable](m map[K]int64, key K, bytes int64) {
	if m[key] += bytes; m[key] == 0 {
		delete(m, key)
	}
}
