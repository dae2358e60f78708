// Package wire implements the peer protocol between entry instances: msgpack messages
// in length-prefixed frames over TCP, with a handshake and heartbeats.
package wire

import (
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
)

// ProtocolVersion is the version of the protocol. The handshake fails between peers
// with different versions.
const ProtocolVersion = 1

// Limits of the protocol.
const (
	// MaxFrameBytes bounds the body of one frame.
	MaxFrameBytes = 1 << 20
	// HeartbeatInterval is the time between heartbeats on a connection.
	HeartbeatInterval = 500 * time.Millisecond
	// SilenceTimeout is the time without a received frame after which a connection
	// is closed.
	SilenceTimeout = 2 * time.Second
	// IdleTimeout is the time without a call or one-way message after which an
	// outgoing connection is closed; heartbeats do not count. Without it,
	// connections to and from each of 889 peers would carry 7,112 heartbeats a
	// second. The control traffic of an entry instance may use 15 KB/s, which is
	// about 2 bytes for each of them.
	IdleTimeout = 10 * time.Second
	// CallTimeout bounds a call when its context has no deadline.
	CallTimeout = time.Second
)

// Errors of the protocol. ErrPeerUnreachable means that the peer did not receive the
// message, because there was no established connection; ErrCallOutcomeUnknown means
// that it may have received it.
var (
	ErrPeerUnreachable    = errors.New("peer is unreachable: check its address and process")
	ErrCallOutcomeUnknown = errors.New("connection to the peer failed during the call")
	ErrBadHandshake       = errors.New("peer handshake failed: check the shared secret and version")
	ErrFrameTooLarge      = errors.New("frame exceeds the size limit")
	ErrUnknownKind        = errors.New("peer does not handle this kind of message: upgrade it")
)

// Peer identifies the process at the other end of a connection.
type Peer struct {
	Instance    ident.InstanceID  `msgpack:"i"`
	Incarnation ident.Incarnation `msgpack:"n"`
	DataCentre  ident.DataCentre  `msgpack:"d"`
}

// Kind is the kind of a message. It selects the handler.
type Kind string
