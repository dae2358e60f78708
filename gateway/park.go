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

// maxParkedTime is how long a caller may read nothing before its connection is
// closed. The caller can resume the answer with Last-Event-ID.
const maxParkedTime = 10 * time.Minute

// parkedStreams counts the parked streams per account and in total.
type parkedStreams struct {
	mu         sync.Mutex
	perAccount int
	perProcess int
	accounts   map[ident.Account]int
	conns      map[*stallConn]struct{}
	// parkedTotal counts all streams that have ever been parked.
	parkedTotal atomic.Uint64
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
	p.parkedTotal.Add(1)
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

// parkedStream is the state that is kept of an answer whose caller has stopped
// reading: the connection with its unsent bytes and the request with the delivered
// offset.
type parkedStream struct {
	request *Request
	conn    *stallConn
	// writer is the connection to which the response is written. Under TLS, it
	// differs from conn.
	writer net.Conn
}

// parkStream hijacks the connection from net/http, which frees its buffers and
// goroutines, and starts one goroutine that waits for the caller.
func (g *Gateway) parkStream(r *Request, w http.ResponseWriter, conn *stallConn) error {
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
	p := &parkedStream{request: resumableRequest(r), conn: conn, writer: hijacked}
	g.wg.Add(1)
	go g.resumeParked(p)
	return nil
}

// resumableRequest returns a copy with the fields that a resumed attempt needs. It
// keeps the request body but not the decoded prompt, the snapshot and the sink's
// buffers.
func resumableRequest(r *Request) *Request {
	resumable := *r
	resumable.Service = nil
	resumable.Sink = nil
	resumable.firstTokenTimer = nil
	resumable.Completion = &engine.CompletionRequest{
		Model:     r.Completion.Model,
		Stream:    true,
		MaxTokens: r.Completion.MaxTokens,
		Adapter:   r.Completion.Adapter,
	}
	return &resumable
}

// resumeParked waits until the caller reads again and then produces the rest of
// the answer, starting at the delivered offset. If the caller stops again, the
// stream is parked again.
func (g *Gateway) resumeParked(p *parkedStream) {
	account := p.request.Account.Name
	defer g.wg.Done()
	defer func() { _ = p.writer.Close() }()
	defer func() {
		g.parked.remove(account, p.conn)
		g.counters.parkedNow.Update(float64(g.parked.count()))
	}()
	for {
		if err := p.conn.sendUnsent(maxParkedTime); err != nil {
			return
		}
		g.counters.unparked.Inc(1)
		stalledAgain := make(chan bool, 1)
		// The answer is produced on a separate goroutine, so that its stack is
		// freed while the stream is parked.
		go func() { stalledAgain <- g.continueAnswer(p) }()
		if !<-stalledAgain {
			return
		}
		g.counters.parked.Inc(1)
	}
}

// continueAnswer produces the rest of the answer. It returns true if the caller
// has stopped reading again.
func (g *Gateway) continueAnswer(p *parkedStream) bool {
	ctx, cancel := context.WithCancel(g.baseContext)
	defer cancel()
	body := newChunkedBody(p.writer)
	r := resumableRequest(p.request)
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
	p.conn.setDetectStalls(false)
	_ = p.conn.Conn.SetWriteDeadline(time.Now().Add(parkAfter))
	_ = body.finish()
	return false
}
