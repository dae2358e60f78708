package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/internal/callerconn"
)

// Timeouts of the callers' listener.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
)

// Server returns an HTTP server for the handler. It sets the timeouts and tracks
// connections, which parking requires.
func (g *Gateway) Server(h http.Handler, maxHeaderBytes int) *http.Server {
	return &http.Server{
		Handler: h,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return callerconn.Context(withLimitConn(ctx, c), c)
		},
		ConnState:         connState,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// encodeCompletion runs the filters and writes the answer while it is produced.
func (g *Gateway) encodeCompletion(ctx context.Context, w http.ResponseWriter, request any) error {
	r := request.(*Request)
	if !r.Completion.Stream {
		r.Sink = &jsonSink{w: w, request: r}
		_, err := g.completion(ctx, r)
		return err
	}
	conn, _ := ctx.Value(stallConnKey{}).(*stallConn)
	rc := http.NewResponseController(w)
	sink := &sseSink{w: &headerWriter{w: w}, flush: rc.Flush, conn: conn, answerID: r.AnswerID}
	r.Sink = sink
	if conn != nil {
		conn.setDetectStalls(true)
	}
	_, err := g.completion(ctx, r)
	if errors.Is(err, errParked) {
		return g.parkStream(r, w, conn)
	}
	if conn != nil {
		conn.setDetectStalls(false)
	}
	return abortStartedStream(ctx, sink, err)
}

// abortStartedStream returns err if the stream has not started. Otherwise it aborts
// the connection, so that the caller can tell from the missing end marker that the
// answer is incomplete.
func abortStartedStream(ctx context.Context, sink *sseSink, err error) error {
	if err == nil || !sink.started {
		return err
	}
	panic(http.ErrAbortHandler)
}

// headerWriter writes the response header of an event stream before its first
// byte. A refusal before that byte can still set its own status.
type headerWriter struct {
	w       http.ResponseWriter
	started bool
}

// Write implements io.Writer.
func (h *headerWriter) Write(b []byte) (int, error) {
	if !h.started {
		h.started = true
		header := h.w.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		h.w.WriteHeader(http.StatusOK)
	}
	return h.w.Write(b)
}

// chunkedBody writes the rest of a chunked response to a hijacked connection.
type chunkedBody struct {
	conn   io.Writer
	chunks io.WriteCloser
}

func newChunkedBody(conn io.Writer) *chunkedBody {
	return &chunkedBody{conn: conn, chunks: httputil.NewChunkedWriter(conn)}
}

// Write implements io.Writer.
func (c *chunkedBody) Write(b []byte) (int, error) { return c.chunks.Write(b) }

// finish writes the last chunk, which marks the body as complete.
func (c *chunkedBody) finish() error {
	if err := c.chunks.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(c.conn, "\r\n")
	return err
}

// Listener wraps the callers' listener with the connection limit and the detection
// of stalled callers.
func (g *Gateway) Listener(l net.Listener) net.Listener {
	return &limitListener{Listener: stallListener{Listener: l, parkAfter: g.opts.ParkAfter}, limit: maxConnections}
}
