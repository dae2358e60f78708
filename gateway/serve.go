package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"time"

	"github.com/pkg/errors"
)

// Timeouts of the callers' listener.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
)

// Server returns an HTTP server for the handler with the timeouts and the
// connection tracking that parking needs.
func (g *Gateway) Server(h http.Handler, maxHeaderBytes int) *http.Server {
	return &http.Server{
		Handler:           h,
		ConnContext:       limitContext,
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
	conn, _ := ctx.Value(connKey{}).(*stallConn)
	rc := http.NewResponseController(w)
	sink := &sseSink{w: &headerWriter{w: w}, flush: rc.Flush, conn: conn, answerID: r.AnswerID}
	r.Sink = sink
	if conn != nil {
		conn.setParking(true)
	}
	_, err := g.completion(ctx, r)
	if errors.Is(err, errParked) {
		return g.park(r, w, conn)
	}
	if conn != nil {
		conn.setParking(false)
	}
	return streamError(ctx, sink, err)
}

// streamError ends a stream that has started without its end marker: the
// connection is cut, so the caller can tell that the answer is incomplete.
func streamError(ctx context.Context, sink *sseSink, err error) error {
	if err == nil || !sink.started {
		return err
	}
	panic(http.ErrAbortHandler)
}

// headerWriter sets the headers of an event stream before its first byte, so
// that a refusal before it can still have its own status.
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

// chunkedBody writes the rest of a chunked response on a hijacked connection.
type chunkedBody struct {
	conn   io.Writer
	chunks io.WriteCloser
}

func newChunkedBody(conn io.Writer) *chunkedBody {
	return &chunkedBody{conn: conn, chunks: httputil.NewChunkedWriter(conn)}
}

// Write implements io.Writer.
func (c *chunkedBody) Write(b []byte) (int, error) { return c.chunks.Write(b) }

// end writes the last chunk, which marks a complete body.
func (c *chunkedBody) end() error {
	if err := c.chunks.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(c.conn, "\r\n")
	return err
}

// Listener wraps the callers' listener so that stopped readers are noticed.
func (g *Gateway) Listener(l net.Listener) net.Listener {
	return &limitListener{Listener: stallListener{Listener: l, parkAfter: g.opts.ParkAfter}, limit: maxConnections}
}
