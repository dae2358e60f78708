package engine

import (
	"container/list"
	"net/http"
	"strconv"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/standin/httpd"
)

// maxCacheEvents bounds the events kept for readers.
const maxCacheEvents = 4096

// CacheEvents is the answer of GET /cache/events.
type CacheEvents struct {
	Events []engine.CacheEvent `json:"events"`
}

type cacheEntry struct {
	prefix uint64
	tokens int
}

type lateEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// prefixCache holds block-aligned prefixes in limited memory, least recently
// used first out.
type prefixCache struct {
	cfg    Config
	order  *list.List // of cacheEntry, most recent first
	byHash map[uint64]*list.Element
	events []lateEvent
}

func newPrefixCache(cfg Config) *prefixCache {
	return &prefixCache{cfg: cfg, order: list.New(), byHash: make(map[uint64]*list.Element)}
}

// hit returns the number of cached prompt tokens.
func (c *prefixCache) hit(hashes []uint64) int {
	n := 0
	for _, h := range hashes {
		el, ok := c.byHash[h]
		if !ok {
			break
		}
		c.order.MoveToFront(el)
		n++
	}
	return n * engine.PrefixBlockTokens
}

// cacheAdd stores the prefixes of a prompt. The caller holds e.mu.
func (e *Engine) cacheAdd(hashes []uint64) {
	c := e.cache
	for i, h := range hashes {
		if _, ok := c.byHash[h]; ok {
			continue
		}
		tokens := (i + 1) * engine.PrefixBlockTokens
		c.byHash[h] = c.order.PushFront(cacheEntry{prefix: h, tokens: tokens})
		e.cacheEvent(h, tokens, false)
	}
	for c.order.Len()*engine.PrefixBlockTokens > c.cfg.CacheTokens {
		el := c.order.Back()
		entry, _ := el.Value.(cacheEntry)
		c.order.Remove(el)
		delete(c.byHash, entry.prefix)
		e.cacheEvent(entry.prefix, entry.tokens, true)
	}
}

// cacheEvent publishes an event late, or drops it while its number is used up.
func (e *Engine) cacheEvent(prefix uint64, tokens int, evicted bool) {
	e.sequence++
	if gap := e.cfg.CacheEventGap; gap > 0 && e.sequence%uint64(gap) == 0 {
		return
	}
	c := e.cache
	if len(c.events) >= maxCacheEvents {
		c.events = append(c.events[:0], c.events[maxCacheEvents/2:]...)
	}
	c.events = append(c.events, lateEvent{
		at: time.Now().Add(c.cfg.CacheEventDelay),
		event: engine.CacheEvent{
			Sequence: e.sequence, Group: e.assigned.Group, Prefix: prefix, Tokens: tokens, Evicted: evicted,
		},
	})
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Get("after") != "" {
		http.Error(w, "after must be a sequence number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	out := CacheEvents{Events: []engine.CacheEvent{}}
	now := time.Now()
	for _, ev := range e.cache.events {
		if ev.event.Sequence > after && !ev.at.After(now) {
			out.Events = append(out.Events, ev.event)
		}
	}
	httpd.WriteJSON(w, http.StatusOK, out)
}

// KV is an exported KV cache: what it covers, not its bytes.
type KV struct {
	Model    string   `json:"model"`
	Prefixes []uint64 `json:"prefixes"`
	Tokens   int      `json:"tokens"`
}

// handleExport answers the cached part of a prompt.
func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	var req engine.CompletionRequest
	if !httpd.ReadJSON(w, r, &req) {
		return
	}
	hashes := engine.PrefixHashes(req.Text())
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.cache.hit(hashes)
	httpd.WriteJSON(w, http.StatusOK, KV{
		Model: e.assigned.Model, Tokens: n, Prefixes: hashes[:n/engine.PrefixBlockTokens],
	})
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var kv KV
	if !httpd.ReadJSON(w, r, &kv) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if kv.Model != e.assigned.Model {
		http.Error(w, "the cache belongs to another model", http.StatusConflict)
		return
	}
	e.cacheAdd(kv.Prefixes)
	w.WriteHeader(http.StatusNoContent)
}
