package wire

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// nonceBytes is the size of the challenge that each end sends.
const nonceBytes = 16

// hello opens a connection from either end.
type hello struct {
	Version int    `msgpack:"v"`
	Peer    Peer   `msgpack:"p"`
	Nonce   []byte `msgpack:"c"`
}

// auth proves knowledge of the shared secret for the other end's nonce.
type auth struct {
	MAC []byte `msgpack:"m"`
}

// handshake authenticates both ends and returns the other one.
func handshake(c *conn, self Peer, secret []byte) (Peer, error) {
	own := hello{Version: ProtocolVersion, Peer: self, Nonce: make([]byte, nonceBytes)}
	if _, err := rand.Read(own.Nonce); err != nil {
		return Peer{}, errors.Wrap(err, "create handshake nonce")
	}
	var other hello
	if err := exchange(c, frameHello, own, &other); err != nil {
		return Peer{}, err
	}
	if other.Version != ProtocolVersion || len(other.Nonce) != nonceBytes {
		return Peer{}, errors.Wrapf(ErrBadHandshake, "peer speaks version %d, want %d", other.Version, ProtocolVersion)
	}
	var proof auth
	if err := exchange(c, frameAuth, auth{MAC: sign(secret, other.Nonce, self)}, &proof); err != nil {
		return Peer{}, err
	}
	if !hmac.Equal(proof.MAC, sign(secret, own.Nonce, other.Peer)) {
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
	f, err := readFrame(c.r)
	if err != nil {
		return err
	}
	if f.Type != t {
		return errors.Wrapf(ErrBadHandshake, "unexpected frame type %d", f.Type)
	}
	return errors.Wrap(msgpack.Unmarshal(f.Body, in), "decode handshake")
}

// sign binds the nonce of the verifier to the identity of the prover.
func sign(secret, nonce []byte, prover Peer) []byte {
	m := hmac.New(sha256.New, secret)
	_, _ = m.Write(nonce)
	for _, s := range []string{string(prover.Instance), string(prover.Incarnation), string(prover.DataCentre)} {
		_, _ = m.Write([]byte(s))
		_, _ = m.Write([]byte{0})
	}
	return m.Sum(nil)
}
