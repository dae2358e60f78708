package engine

import (
	"container/list"
	"net/http"
	"strconv"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/standin/httpd"
)

// maxCacheEvents is the maximum number of events kept for readers.
const maxCacheEvents = 4096

// CacheEvents is the response of GET /cache/events.
type CacheEvents struct {
	Events []engine.CacheEvent `json:"events"`
}

type cacheEntry struct {
	prefix uint64
	tokens int
}

type delayedEvent struct {
	visibleAt time.Time
	event     engine.CacheEvent
}

// prefixCache is an LRU cache of block-aligned prompt prefixes.
type prefixCache struct {
	cfg     Config
	recency *list.List // of cacheEntry, most recent first
	byHash  map[uint64]*list.Element
	events  []delayedEvent
}

func newPrefixCache(cfg Config) *prefixCache {
	return &prefixCache{cfg: cfg, recency: list.New(), byHash: make(map[uint64]*list.Element)}
}

// cachedTokens returns the number of cached tokens at the start of a prompt, given
// the hashes of its prefixes.
func (c *prefixCache) cachedTokens(hashes []uint64) int {
	n := 0
	for _, h := range hashes {
		el, ok := c.byHash[h]
		if !ok {
			break
		}
		c.recency.MoveToFront(el)
		n++
	}
	return n * engine.PrefixBlockTokens
}

// addToCache adds the prefixes of a prompt and evicts the least recently used
// ones. The caller holds e.mu.
func (e *Engine) addToCache(hashes []uint64) {
	c := e.cache
	for i, h := range hashes {
		if _, ok := c.byHash[h]; ok {
			continue
		}
		tokens := (i + 1) * engine.PrefixBlockTokens
		c.byHash[h] = c.recency.PushFront(cacheEntry{prefix: h, tokens: tokens})
		e.publishCacheEvent(h, tokens, false)
	}
	for c.recency.Len()*engine.PrefixBlockTokens > c.cfg.CacheTokens {
		el := c.recency.Back()
		entry, _ := el.Value.(cacheEntry)
		c.recency.Remove(el)
		delete(c.byHash, entry.prefix)
		e.publishCacheEvent(entry.prefix, entry.tokens, true)
	}
}

// publishCacheEvent publishes an event after Config.CacheEventDelay. A dropped
// event still uses up a sequence number. The caller holds e.mu.
func (e *Engine) publishCacheEvent(prefix uint64, tokens int, evicted bool) {
	e.sequence++
	if gap := e.cfg.CacheEventGap; gap > 0 && e.sequence%uint64(gap) == 0 {
		return
	}
	c := e.cache
	if len(c.events) >= maxCacheEvents {
		c.events = append(c.events[:0], c.events[maxCacheEvents/2:]...)
	}
	c.events = append(c.events, delayedEvent{
		visibleAt: time.Now().Add(c.cfg.CacheEventDelay),
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
		if ev.event.Sequence > after && !ev.visibleAt.After(now) {
			out.Events = append(out.Events, ev.event)
		}
	}
	httpd.WriteJSON(w, http.StatusOK, out)
}

// KVExport describes an exported KV cache: the prefixes that it covers, without
// their data.
type KVExport struct {
	Model    string   `json:"model"`
	Prefixes []uint64 `json:"prefixes"`
	Tokens   int      `json:"tokens"`
}

// handleExport responds with the cached part of a prompt.
func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	var req engine.CompletionRequest
	if !httpd.ReadJSON(w, r, &req) {
		return
	}
	hashes := engine.PrefixHashes(req.Text())
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.cache.cachedTokens(hashes)
	httpd.WriteJSON(w, http.StatusOK, KVExport{
		Model: e.assigned.Model, Tokens: n, Prefixes: hashes[:n/engine.PrefixBlockTokens],
	})
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var kv KVExport
	if !httpd.ReadJSON(w, r, &kv) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if kv.Model != e.assigned.Model {
		http.Error(w, "the cache belongs to another model", http.StatusConflict)
		return
	}
	e.addToCache(kv.Prefixes)
	w.WriteHeader(http.StatusNoContent)
}
