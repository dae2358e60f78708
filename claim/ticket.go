package claim

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
)

// TicketPrefix marks idempotency keys that are tickets. Callers' own keys must
// not start with it.
const TicketPrefix = "bt1."

// TicketLifetime is how long a ticket can be used after it was minted. The minting
// incarnation remembers each used ticket that long.
const TicketLifetime = time.Hour

// maxTicketBytes bounds the ticket text that Parse accepts.
const maxTicketBytes = 512

// ticketBytes is the size of a ticket's expiry and random part.
const ticketBytes = 16

// ErrBadTicket means that a key has the prefix of tickets but is not one that
// this system minted for the account and service.
var ErrBadTicket = errors.New("malformed or foreign ticket: request a new one with POST /v1/tickets")

// ErrTicketExpired means that the ticket's life has passed, so that this
// incarnation may have forgotten whether it was used.
var ErrTicketExpired = errors.New("ticket expired: request a new one with POST /v1/tickets")

// Ticket is a parsed ticket. Only its minter can verify it.
type Ticket struct {
	Instance    ident.InstanceID
	Incarnation ident.Incarnation
	// Expires is an instant on the minter's monotonic clock.
	Expires time.Duration
	signed  string
	mac     []byte
}

// Minter mints and verifies the tickets of one incarnation. It keeps no record
// of unused tickets: the signature proves that the ticket is its own.
type Minter struct {
	instance    ident.InstanceID
	incarnation ident.Incarnation
	secret      []byte
}

// NewMinter returns a minter. The secret has to be new for each incarnation.
func NewMinter(instance ident.InstanceID, incarnation ident.Incarnation, secret []byte) *Minter {
	return &Minter{instance: instance, incarnation: incarnation, secret: secret}
}

// Mint returns a ticket for one order of an account at a service. Nonce has to
// be different for each ticket.
func (m *Minter) Mint(now time.Duration, account ident.Account, service ident.ServiceName, nonce uint64) string {
	var b [ticketBytes]byte
	binary.BigEndian.PutUint64(b[:8], uint64(now+TicketLifetime))
	binary.BigEndian.PutUint64(b[8:], nonce)
	enc := base64.RawURLEncoding
	signed := TicketPrefix + enc.EncodeToString([]byte(m.instance)) + "." +
		enc.EncodeToString([]byte(m.incarnation)) + "." + enc.EncodeToString(b[:])
	return signed + "." + enc.EncodeToString(m.sign(signed, account, service))
}

// IsTicket reports whether a key claims to be a ticket.
func IsTicket(key string) bool { return strings.HasPrefix(key, TicketPrefix) }

// ParseTicket reads who minted a ticket.
func ParseTicket(key string) (Ticket, error) {
	rest, ok := strings.CutPrefix(key, TicketPrefix)
	if !ok || len(key) > maxTicketBytes {
		return Ticket{}, ErrBadTicket
	}
	parts := strings.Split(rest, ".")
	if len(parts) != 4 {
		return Ticket{}, ErrBadTicket
	}
	var raw [4][]byte
	for i, p := range parts {
		b, err := base64.RawURLEncoding.Strict().DecodeString(p)
		if err != nil {
			return Ticket{}, ErrBadTicket
		}
		raw[i] = b
	}
	if len(raw[2]) != ticketBytes || len(raw[0]) == 0 || len(raw[1]) == 0 {
		return Ticket{}, ErrBadTicket
	}
	return Ticket{
		Instance:    ident.InstanceID(raw[0]),
		Incarnation: ident.Incarnation(raw[1]),
		Expires:     time.Duration(binary.BigEndian.Uint64(raw[2][:8])),
		signed:      key[:strings.LastIndexByte(key, '.')],
		mac:         raw[3],
	}, nil
}

// Verify checks that this incarnation minted a ticket for an account and a
// service and that its life has not passed.
func (m *Minter) Verify(now time.Duration, t Ticket, account ident.Account, service ident.ServiceName) error {
	if t.Instance != m.instance || t.Incarnation != m.incarnation {
		return ErrBadTicket
	}
	if !hmac.Equal(t.mac, m.sign(t.signed, account, service)) {
		return ErrBadTicket
	}
	if now >= t.Expires {
		return ErrTicketExpired
	}
	return nil
}

func (m *Minter) sign(signed string, account ident.Account, service ident.ServiceName) []byte {
	h := hmac.New(sha256.New, m.secret)
	_, _ = h.Write([]byte(signed + "\x00" + string(account) + "\x00" + string(service)))
	return h.Sum(nil)[:16]
}
