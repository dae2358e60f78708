package duty

import (
	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Token is a fencing token: an integer that increases with each holder of the lease, and with
// each changed call of a holder.
type Token uint64

// A token consists of the lease's epoch and a sequence number of the holder. Each epoch has one
// holder, also in a store that was restored from an older copy: package lease gives each era of
// the store epochs of its own. Both parts together are below 2^53, so that decoders of JSON
// that use floating-point numbers read a token exactly.
const (
	sequenceBits = 20
	tokenBits    = 53
	// maxSequence is the highest sequence number.
	maxSequence = 1<<sequenceBits - 1
)

// ErrTokenTooLarge means that an epoch or a sequence number does not fit into a token.
var ErrTokenTooLarge = errors.New("epoch or sequence number is too large for a fencing token: epochs are below 2^33, sequence numbers below 2^20; a new holder of the lease begins a new sequence, so restart this instance")

// NewToken returns the token for a sequence number of the holder with an epoch.
func NewToken(epoch ident.Epoch, sequence uint64) (Token, error) {
	if epoch >= 1<<(tokenBits-sequenceBits) || sequence > maxSequence {
		return 0, errors.Wrapf(ErrTokenTooLarge, "epoch %d, sequence number %d", epoch, sequence)
	}
	return Token(uint64(epoch)<<sequenceBits | sequence), nil
}
