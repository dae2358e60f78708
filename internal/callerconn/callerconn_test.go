package callerconn

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a caller's end that is found only once the connection is read, and against a
// caller that is taken to have left because it has sent more.
func TestLeft(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	caller, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	c, err := l.Accept()
	assert.NilError(t, err)
	defer func() { assert.NilError(t, c.Close()) }()
	ctx := Context(t.Context(), c)
	assert.Assert(t, !Left(ctx))
	_, err = io.WriteString(caller, "next request")
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, !Left(ctx), "bytes that are not read are no end")
	assert.NilError(t, caller.Close())
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, Left(ctx))
	assert.Assert(t, !Left(t.Context()), "a context without a connection")
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, Left(ended))
}
