package configshell

import (
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/infra"
)

// eraTable is a table that reports an era.
type eraTable struct {
	infra.Table
	era uint64
}

func (t *eraTable) Era() uint64 { return t.era }

// TestReadDuringRestore guards against rows of two eras that count as one state of the
// store, and against a first read or a read without eras that counts as failed.
func TestReadDuringRestore(t *testing.T) {
	table := &eraTable{}
	s := NewStore(table)
	to := func(era uint64) func() error {
		return func() error { table.era = era; return nil }
	}
	for _, era := range []uint64{1, 1, 3} {
		before := table.era
		got, err := s.InEra(to(era))
		assert.Equal(t, got, era)
		assert.Equal(t, errors.Is(err, errRestored), before == 1 && era == 3, "%d after %d", era, before)
	}
	failed := errors.New("failed")
	_, err := s.InEra(func() error { return failed })
	assert.Assert(t, errors.Is(err, failed))
	era, err := NewStore(nil).InEra(func() error { return nil })
	assert.NilError(t, err)
	assert.Equal(t, era, uint64(0))
}
