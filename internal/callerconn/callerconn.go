// Package callerconn finds out whether the caller of an HTTP request has closed its connection.
// The context of a request shows that only once the HTTP server has read the end of the connection,
// which takes a while in a process that lacks processor time.
package callerconn

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unwrapper is a connection around another one.
type Unwrapper interface{ Unwrap() net.Conn }

type contextKey struct{}

// Context adds a connection to the context of its requests. It has the type of
// http.Server.ConnContext.
func Context(ctx context.Context, c net.Conn) context.Context {
	for {
		switch w := c.(type) {
		case Unwrapper:
			c = w.Unwrap()
		case interface{ NetConn() net.Conn }: // as of a tls.Conn
			c = w.NetConn()
		case syscall.Conn:
			if raw, err := w.SyscallConn(); err == nil {
				return context.WithValue(ctx, contextKey{}, raw)
			}
			return ctx
		default:
			return ctx
		}
	}
}

// Left reports whether a request's context has ended, or its caller has closed the connection.
func Left(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	raw, ok := ctx.Value(contextKey{}).(syscall.RawConn)
	if !ok {
		return false
	}
	ended := false
	err := raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		// Without an answer the context decides alone.
		ended = err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return ended || err != nil
}
