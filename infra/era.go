package infra

import "github.com/pkg/errors"

// A store that is restored from an older copy gives versions out again. Its era is a number
// that rises with each restore. The versions of a platform's adapter may combine the era and
// the store's counter, so that they rise across restores; those of Client do not.

// EraHeader is the header with the era in each answer of the stand-in's table.
const EraHeader = "Bulrush-Table-Era"

// EraReporter is implemented by a Table whose store can be restored from an older copy. Each
// restore starts an era with the next number. A version of an earlier era may be given out
// again for another content, so a condition on it means nothing in a later era.
//
// The era of a store that was never restored is 1. Numbers are below 2^24. An adapter of a
// platform that may count from 0 adds 1.
type EraReporter interface {
	// Era returns the highest era that an answer of the store has named, or 0 if there was
	// none. The era of an answer counts before the call returns: a caller that reads the
	// same number before and after a call knows that the answer is of that era or of an
	// earlier one.
	Era() uint64
}

// EraOf returns the era of a table, or 0 if the table reports none.
func EraOf(t Table) uint64 {
	if r, ok := t.(EraReporter); ok {
		return r.Era()
	}
	return 0
}

// eraShift is the number of bits of the counter in a version.
const eraShift = 40

// ErrVersionTooLarge means that a store's counter or era does not fit into a version.
var ErrVersionTooLarge = errors.New("counter or era of the store is too large: counters are below 2^40, eras below 2^24")

// NewVersion returns the version for a store's counter in an era.
func NewVersion(era, counter uint64) (uint64, error) {
	if counter >= 1<<eraShift || era >= 1<<(64-eraShift) {
		return 0, errors.Wrapf(ErrVersionTooLarge, "era %d, counter %d", era, counter)
	}
	return era<<eraShift | counter, nil
}

// VersionEra returns the era of a version.
func VersionEra(version uint64) uint64 { return version >> eraShift }

// VersionCounter returns the store's counter of a version.
func VersionCounter(version uint64) uint64 { return version & (1<<eraShift - 1) }
