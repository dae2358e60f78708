package forward

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bulrushfall/bulrushfall/admission"
	"github.com/bulrushfall/bulrushfall/telemetry"
)

const (
	// chunkedBufferBytes is the initial size of the buffer for a request body without a length.
	chunkedBufferBytes = 16 << 10
	// unheldBytes is the size up to which the buffer of a response is not counted.
	unheldBytes = 4 << 10
	// discardTimeout bounds the time for which the body of a refused request is discarded, so that
	// a caller that writes it whole before it reads gets the response.
	discardTimeout = 2 * time.Second
)

const (
	// metricMemoryRefused counts the requests that were refused because they don't fit into the
	// memory, metricHeldBytes is the number of bytes held.
	metricMemoryRefused = "memory_refused_total"
	metricHeldBytes     = "held_bytes"
	reasonMemory        = "memory for request bodies is full"
)

// errMemory means that a body does not fit into the memory for requests and responses.
var errMemory = errors.New(reasonMemory)

// memory is the account of the bytes held for requests and responses.
type memory struct {
	mu      sync.Mutex
	account *admission.Memory // nil: no limit
	gauge   tally.Gauge       // nil: no metrics
}

func newMemory(limit int64, metrics *telemetry.Metrics) *memory {
	m := &memory{}
	if limit > 0 {
		m.account = admission.NewMemory(limit)
	}
	if metrics != nil {
		m.gauge = metrics.Scope.Gauge(metricHeldBytes)
	}
	return m
}

// updateGauge publishes the number of bytes held.
func (m *memory) updateGauge() {
	if m.gauge != nil {
		m.gauge.Update(float64(m.account.Used()))
	}
}

// hold is a part of the memory that one owner holds. The zero value holds nothing.
type hold struct {
	held *admission.MemoryHold
}

// resizeHold changes the size of a hold of the request, and reports whether that fits.
func (c *call) resizeHold(h *hold, bytes int) bool {
	m := c.handler.memory
	if m.account == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.updateGauge()
	if h.held != nil {
		return h.held.Resize(int64(bytes))
	}
	owner := admission.MemoryOwner{Service: c.service}
	if c.account != nil {
		owner.Account = c.account.Name
	}
	held, ok := m.account.Reserve(owner, int64(bytes))
	if ok {
		h.held = held
	}
	return ok
}

// release ends a hold. Further calls do nothing.
func (c *call) release(h *hold) {
	if h.held == nil {
		return
	}
	m := c.handler.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	h.held.Release()
	h.held = nil
	m.updateGauge()
}

// HeldBytes returns the number of bytes held for requests and responses, if it is limited.
func (h *Handler) HeldBytes() int64 {
	if h.memory.account == nil {
		return 0
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.memory.account.Used()
}

// readBody reads the request body, for which it reserves memory before.
func (c *call) readBody(limit int) error {
	if c.request.ContentLength > int64(limit) {
		return &http.MaxBytesError{Limit: int64(limit)}
	}
	if n := int(c.request.ContentLength); n >= 0 {
		if !c.resizeHold(&c.bodyHold, n) {
			return errMemory
		}
		c.body = make([]byte, n)
		_, err := io.ReadFull(c.request.Body, c.body)
		return err
	}
	r := http.MaxBytesReader(c.writer, c.request.Body, int64(limit))
	for {
		if len(c.body) == cap(c.body) {
			size := max(chunkedBufferBytes, min(2*cap(c.body), limit+1))
			// Both buffers exist during the copy.
			if !c.resizeHold(&c.bodyHold, cap(c.body)+size) {
				return errMemory
			}
			c.body = append(make([]byte, 0, size), c.body...)
			c.resizeHold(&c.bodyHold, size)
		}
		n, err := r.Read(c.body[len(c.body):cap(c.body)])
		c.body = c.body[:len(c.body)+n]
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// refuseMemory refuses a request whose body does not fit into the memory. It then discards the
// body.
func (c *call) refuseMemory() {
	c.body = nil
	c.release(&c.bodyHold)
	c.handler.count(metricMemoryRefused)
	rc := http.NewResponseController(c.writer)
	// Without full duplex, net/http reads a part of the body before it sends the response.
	if err := rc.EnableFullDuplex(); err != nil {
		c.refuse(refusal{reason: reasonMemory, retryAfter: busyRetryAfter})
		return
	}
	c.writer.Header().Set("Content-Length", "0")
	c.refuse(refusal{reason: reasonMemory, retryAfter: busyRetryAfter})
	if rc.Flush() != nil || rc.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return // The caller has disconnected.
	}
	_, _ = io.Copy(io.Discard, c.request.Body) // An error ends the connection.
}

// growBuffer replaces the buffer of received data by a larger one, and reports whether it fits into
// the memory.
func (a *attempt) growBuffer(size int) bool {
	if size > unheldBytes && !a.req.resizeHold(&a.bufHold, size) {
		a.req.handler.count(metricMemoryRefused)
		return false
	}
	a.buf = append(make([]byte, 0, size), a.buf...)
	return true
}
