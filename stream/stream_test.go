package stream

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bulrushfall/bulrushfall/ident"
)

// TestAssembler guards against doubled, missing or foreign tokens when attempts
// break, repeat frames, skip frames or deliver frames of another attempt.
func TestAssembler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 20).Draw(t, "total")
		var a Assembler
		var got []int
		for attempt := 0; !a.Ended() && attempt < 200; attempt++ {
			id := ident.AttemptID(fmt.Sprint("a", attempt))
			offset := a.BeginAttempt(id)
			for offset <= total {
				sender := []byte(id)
				if rapid.IntRange(0, 9).Draw(t, "foreign") == 0 {
					sender = []byte("other")
				}
				sent := offset + rapid.SampledFrom([]int{0, 0, 0, 0, 0, -1, 1}).Draw(t, "shift")
				verdict := send(&a, sender, sent, total, &got)
				if verdict == Resume {
					break
				}
				if verdict == Deliver {
					offset++
				}
			}
		}
		assert.Equal(t, a.NextOffset(), len(got))
		for i, offset := range got {
			assert.Equal(t, i, offset)
		}
		if a.Ended() {
			assert.Equal(t, len(got), total)
		}
	})
}

// send plays one frame of an answer of total frames.
func send(a *Assembler, sender []byte, offset, total int, got *[]int) Verdict {
	if offset == total {
		return a.AcceptEnd(sender, offset)
	}
	verdict := a.AcceptFrame(sender, offset)
	if verdict == Deliver {
		*got = append(*got, offset)
	}
	return verdict
}
