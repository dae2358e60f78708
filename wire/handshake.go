package wire

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/binary"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Limits of the handshake.
const (
	// nonceBytes is the size of the nonce that each end sends as a challenge.
	nonceBytes = 16
	// maxHandshakeBytes bounds a frame from a peer that is not yet authenticated.
	maxHandshakeBytes = 4096
	// exportBytes is the size of the value that binds the handshake to a TLS
	// connection.
	exportBytes = 32
)

// side is an end of a connection. The proof of an end contains its side, so that an
// attacker cannot send the proof back as that of the other end.
type side byte

const (
	sideDialer   side = 1
	sideListener side = 2
)

func (s side) other() side { return sideDialer + sideListener - s }

// hello is the first message of each end.
type hello struct {
	Version int    `msgpack:"v"`
	Peer    Peer   `msgpack:"p"`
	Nonce   []byte `msgpack:"c"`
}

// auth is the second message of each end. It proves knowledge of the shared secret
// for the other end's nonce.
type auth struct {
	MAC []byte `msgpack:"m"`
}

// handshake authenticates both ends and returns the identity of the other one.
func handshake(c *conn, own side, self Peer, secret []byte) (Peer, error) {
	binding, err := c.tlsBinding()
	if err != nil {
		return Peer{}, err
	}
	mine := hello{Version: ProtocolVersion, Peer: self, Nonce: make([]byte, nonceBytes)}
	if _, err := rand.Read(mine.Nonce); err != nil {
		return Peer{}, errors.Wrap(err, "create handshake nonce")
	}
	var other hello
	if err := exchange(c, frameHello, mine, &other); err != nil {
		return Peer{}, err
	}
	if other.Version != ProtocolVersion || len(other.Nonce) != nonceBytes {
		return Peer{}, errors.Wrapf(ErrBadHandshake, "peer speaks version %d, want %d", other.Version, ProtocolVersion)
	}
	var proof auth
	mac := proofMAC(secret, binding, own, mine, other)
	if err := exchange(c, frameAuth, auth{MAC: mac}, &proof); err != nil {
		return Peer{}, err
	}
	if !hmac.Equal(proof.MAC, proofMAC(secret, binding, own.other(), other, mine)) {
		return Peer{}, ErrBadHandshake
	}
	return other.Peer, nil
}

// exchange sends a handshake message and reads the other end's.
func exchange(c *conn, t frameType, out, in any) error {
	body, err := msgpack.Marshal(out)
	if err != nil {
		return errors.Wrap(err, "encode handshake")
	}
	if err := c.write(&frame{Type: t, Body: body}); err != nil {
		return err
	}
	f, err := readFrame(c.r, maxHandshakeBytes)
	if err != nil {
		return err
	}
	if f.Type != t {
		return errors.Wrapf(ErrBadHandshake, "unexpected frame type %d", f.Type)
	}
	return errors.Wrap(msgpack.Unmarshal(f.Body, in), "decode handshake")
}

// proofMAC returns a MAC under the shared secret over the side of the prover, the
// nonces and identities of both ends, and the TLS binding of the connection.
func proofMAC(secret, binding []byte, prover side, own, other hello) []byte {
	m := hmac.New(sha256.New, secret)
	_, _ = m.Write([]byte{byte(prover)})
	for _, h := range []hello{own, other} {
		parts := [][]byte{h.Nonce, []byte(h.Peer.Instance), []byte(h.Peer.Incarnation), []byte(h.Peer.DataCentre)}
		for _, p := range parts {
			// The length prefix makes the sequence of parts unambiguous.
			_, _ = m.Write(binary.BigEndian.AppendUint32(nil, uint32(len(p))))
			_, _ = m.Write(p)
		}
	}
	_, _ = m.Write(binding)
	return m.Sum(nil)
}

// tlsBinding returns a value that only the two ends of a TLS connection share, or
// nil without TLS. As part of the proof, it makes a handshake fail that an attacker
// relays between two connections.
func (c *conn) tlsBinding() ([]byte, error) {
	t, ok := c.netConn.(*tls.Conn)
	if !ok {
		return nil, nil
	}
	if err := t.Handshake(); err != nil {
		return nil, errors.Wrap(ErrBadHandshake, err.Error())
	}
	state := t.ConnectionState()
	b, err := state.ExportKeyingMaterial("EXPORTER-bulrushfall-peer", nil, exportBytes)
	return b, errors.Wrap(err, "bind handshake to TLS")
}
