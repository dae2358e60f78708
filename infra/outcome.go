package infra

import "github.com/pkg/errors"

// Outcome is the result of a transaction, as reported to a state machine.
type Outcome int

// Outcomes of transactions.
const (
	// OutcomeApplied means that the writes took effect.
	OutcomeApplied Outcome = iota + 1
	// OutcomeConflict means that a condition failed and nothing took effect.
	OutcomeConflict
	// OutcomeNotApplied means that the store refused the transaction and nothing
	// took effect.
	OutcomeNotApplied
	// OutcomeUnknown means that the writes may have taken effect: the writer must
	// read its rows to find out.
	OutcomeUnknown
)

// OutcomeOf classifies the error of Table.Txn. An unexpected error counts as
// an unknown outcome, because the request may have reached the store.
func OutcomeOf(err error) Outcome {
	var conflict *ConflictError
	switch {
	case err == nil:
		return OutcomeApplied
	case errors.As(err, &conflict):
		return OutcomeConflict
	case errors.Is(err, ErrThrottled), errors.Is(err, ErrUnavailable):
		return OutcomeNotApplied
	default:
		return OutcomeUnknown
	}
}
