// Package wire is the peer protocol between entry instances: msgpack messages
// in length-prefixed TCP frames, with a handshake and heartbeats.
package wire

import (
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
)

// ProtocolVersion is refused by a peer that does not speak it.
const ProtocolVersion = 1

// Limits of the protocol.
const (
	// MaxFrameBytes bounds the body of one frame.
	MaxFrameBytes = 1 << 20
	// HeartbeatInterval is the time between heartbeats on an idle connection.
	HeartbeatInterval = 500 * time.Millisecond
	// SilenceTimeout is the silence after which a connection is closed.
	SilenceTimeout = 2 * time.Second
	// IdleTimeout is the time without a call or message after which an outgoing
	// connection is closed. Connections to and from each of 889 peers would
	// carry 7,112 heartbeats a second, against a budget of 15 KB/s.
	IdleTimeout = 10 * time.Second
	// CallTimeout bounds a call when its context has no deadline.
	CallTimeout = time.Second
)

// Errors of the protocol. ErrPeerUnreachable means that the peer did not
// receive the message on an established connection; ErrCallOutcomeUnknown
// means that it may have.
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

// Kind names a type of message and so its handler.
type Kind string
