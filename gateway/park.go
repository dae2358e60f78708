package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
)

// maxParked is how long a reader may take nothing before its connection is
// closed. It can resume later with Last-Event-ID.
const maxParked = 10 * time.Minute

// parkedStreams counts the parked streams per account and process.
type parkedStreams struct {
	mu         sync.Mutex
	perAccount int
	perProcess int
	accounts   map[ident.Account]int
	conns      map[*stallConn]struct{}
	// total counts the streams that were parked so far.
	total atomic.Uint64
}

func newParkedStreams(perAccount, perProcess int) *parkedStreams {
	return &parkedStreams{
		perAccount: perAccount,
		perProcess: perProcess,
		accounts:   make(map[ident.Account]int),
		conns:      make(map[*stallConn]struct{}),
	}
}

func (p *parkedStreams) add(account ident.Account, c *stallConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.accounts[account] >= p.perAccount || len(p.conns) >= p.perProcess {
		return false
	}
	p.total.Add(1)
	p.accounts[account]++
	p.conns[c] = struct{}{}
	return true
}

func (p *parkedStreams) remove(account ident.Account, c *stallConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.accounts[account]--; p.accounts[account] == 0 {
		delete(p.accounts, account)
	}
	delete(p.conns, c)
}

func (p *parkedStreams) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

func (p *parkedStreams) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// parkedStream is what remains in memory of an answer whose reader has stopped:
// the connection with its unsent bytes, the request and the delivered offset.
type parkedStream struct {
	request *Request
	conn    *stallConn
	// writer is the connection as the response is written to it. It differs
	// from conn under TLS.
	writer net.Conn
}

// park takes the connection over from net/http, which frees its buffers and
// goroutines, and leaves one goroutine that waits for the reader.
func (g *Gateway) park(r *Request, w http.ResponseWriter, conn *stallConn) error {
	if !g.parked.add(r.Account.Name, conn) {
		g.counters.parkRefused.Inc(1)
		panic(http.ErrAbortHandler)
	}
	hijacked, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		g.parked.remove(r.Account.Name, conn)
		return errors.Wrap(err, "take over the connection of a stopped reader")
	}
	g.counters.parked.Inc(1)
	g.counters.parkedNow.Update(float64(g.parked.count()))
	p := &parkedStream{request: slimRequest(r), conn: conn, writer: hijacked}
	g.wg.Add(1)
	go g.resumeParked(p)
	return nil
}

// slimRequest keeps what a resumed attempt needs. The request body is kept, the
// decoded prompt, the snapshot and the sink's buffers are not.
func slimRequest(r *Request) *Request {
	slim := *r
	slim.Service = nil
	slim.Sink = nil
	slim.startTimer = nil
	slim.Completion = &engine.CompletionRequest{
		Model:     r.Completion.Model,
		Stream:    true,
		MaxTokens: r.Completion.MaxTokens,
		Adapter:   r.Completion.Adapter,
	}
	return &slim
}

// resumeParked waits until the reader takes data again and produces the rest of
// the answer from the delivered offset. A reader that stops again is parked
// again.
func (g *Gateway) resumeParked(p *parkedStream) {
	account := p.request.Account.Name
	defer g.wg.Done()
	defer func() { _ = p.writer.Close() }()
	defer func() {
		g.parked.remove(account, p.conn)
		g.counters.parkedNow.Update(float64(g.parked.count()))
	}()
	for {
		if err := p.conn.drain(maxParked); err != nil {
			return
		}
		g.counters.unparked.Inc(1)
		again := make(chan bool, 1)
		// The answer is produced on a goroutine of its own, so that the stack
		// that it grows is not kept while the reader is stopped.
		go func() { again <- g.continueAnswer(p) }()
		if !<-again {
			return
		}
		g.counters.parked.Inc(1)
	}
}

// continueAnswer produces the rest of the answer and reports whether the reader
// has stopped again.
func (g *Gateway) continueAnswer(p *parkedStream) bool {
	ctx, cancel := context.WithCancel(g.base)
	defer cancel()
	body := newChunkedBody(p.writer)
	r := slimRequest(p.request)
	if !r.Assembler.Ended() {
		r.Sink = &sseSink{
			w:        body,
			flush:    func() error { return nil },
			conn:     p.conn,
			answerID: r.AnswerID,
			started:  true,
		}
		r.Arrived = g.now()
		_, err := g.completion(ctx, r)
		p.request.Assembler = r.Assembler
		if errors.Is(err, errParked) {
			return true
		}
		if err != nil {
			return false
		}
	}
	p.conn.setParking(false)
	_ = p.conn.Conn.SetWriteDeadline(time.Now().Add(parkAfter))
	_ = body.end()
	return false
}
