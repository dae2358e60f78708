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

// TicketPrefix is the prefix of idempotency keys that are tickets. Keys that
// callers choose must not start with it.
const TicketPrefix = "bt1."

// TicketLifetime is how long a ticket can be used after it was minted. The minting
// incarnation keeps each used ticket in its registry for that time.
const TicketLifetime = time.Hour

// maxTicketBytes limits the length of the text that ParseTicket accepts.
const maxTicketBytes = 512

// ticketPayloadBytes is the total size of a ticket's expiry and nonce.
const ticketPayloadBytes = 16

// ErrBadTicket means that a key has the prefix of tickets but is malformed or was
// not minted by this incarnation for the account and service.
var ErrBadTicket = errors.New("ticket is malformed or was not minted by this process for the account and service: request a new one with POST /v1/tickets")

// ErrTicketExpired means that the ticket has expired, so that the registry of
// this incarnation may no longer show whether the ticket was used.
var ErrTicketExpired = errors.New("ticket expired: request a new one with POST /v1/tickets")

// Ticket is a parsed ticket. Only the Minter that minted it can verify it.
type Ticket struct {
	Instance    ident.InstanceID
	Incarnation ident.Incarnation
	// Expires is a time on the minter's monotonic clock.
	Expires    time.Duration
	signedText string // part of the ticket that the MAC covers
	mac        []byte
}

// Minter mints and verifies the tickets of one incarnation. It keeps no state for
// unused tickets: a ticket carries a MAC that only this Minter can compute.
type Minter struct {
	instance    ident.InstanceID
	incarnation ident.Incarnation
	secret      []byte
}

// NewMinter returns a Minter. Each incarnation must use a new secret.
func NewMinter(instance ident.InstanceID, incarnation ident.Incarnation, secret []byte) *Minter {
	return &Minter{instance: instance, incarnation: incarnation, secret: secret}
}

// Mint returns a ticket for one request of an account at a service. The nonce must
// be different for each ticket.
func (m *Minter) Mint(now time.Duration, account ident.Account, service ident.ServiceName, nonce uint64) string {
	var payload [ticketPayloadBytes]byte
	binary.BigEndian.PutUint64(payload[:8], uint64(now+TicketLifetime))
	binary.BigEndian.PutUint64(payload[8:], nonce)
	enc := base64.RawURLEncoding
	signedText := TicketPrefix + enc.EncodeToString([]byte(m.instance)) + "." +
		enc.EncodeToString([]byte(m.incarnation)) + "." + enc.EncodeToString(payload[:])
	return signedText + "." + enc.EncodeToString(m.sign(signedText, account, service))
}

// IsTicket reports whether a key has the prefix of tickets.
func IsTicket(key string) bool { return strings.HasPrefix(key, TicketPrefix) }

// ParseTicket parses a ticket. It does not verify the MAC.
func ParseTicket(key string) (Ticket, error) {
	rest, ok := strings.CutPrefix(key, TicketPrefix)
	if !ok || len(key) > maxTicketBytes {
		return Ticket{}, ErrBadTicket
	}
	parts := strings.Split(rest, ".")
	if len(parts) != 4 {
		return Ticket{}, ErrBadTicket
	}
	var decoded [4][]byte
	for i, p := range parts {
		b, err := base64.RawURLEncoding.Strict().DecodeString(p)
		if err != nil {
			return Ticket{}, ErrBadTicket
		}
		decoded[i] = b
	}
	if len(decoded[2]) != ticketPayloadBytes || len(decoded[0]) == 0 || len(decoded[1]) == 0 {
		return Ticket{}, ErrBadTicket
	}
	return Ticket{
		Instance:    ident.InstanceID(decoded[0]),
		Incarnation: ident.Incarnation(decoded[1]),
		Expires:     time.Duration(binary.BigEndian.Uint64(decoded[2][:8])),
		signedText:  key[:strings.LastIndexByte(key, '.')],
		mac:         decoded[3],
	}, nil
}

// Verify checks that this incarnation minted a ticket for an account and a
// service and that the ticket has not expired.
func (m *Minter) Verify(now time.Duration, t Ticket, account ident.Account, service ident.ServiceName) error {
	if t.Instance != m.instance || t.Incarnation != m.incarnation {
		return ErrBadTicket
	}
	if !hmac.Equal(t.mac, m.sign(t.signedText, account, service)) {
		return ErrBadTicket
	}
	if now >= t.Expires {
		return ErrTicketExpired
	}
	return nil
}

func (m *Minter) sign(signedText string, account ident.Account, service ident.ServiceName) []byte {
	h := hmac.New(sha256.New, m.secret)
	_, _ = h.Write([]byte(signedText + "\x00" + string(account) + "\x00" + string(service)))
	return h.Sum(nil)[:16]
}
