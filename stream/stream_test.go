package stream

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bulrushfall/bulrushfall/ident"
)

// TestAssembler guards against duplicate or missing tokens and tokens of another
// attempt if attempts fail, repeat frames, skip frames or send frames of another
// attempt.
func TestAssembler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 20).Draw(t, "total")
		var a Assembler
		var delivered []int
		for attempt := 0; !a.Ended() && attempt < 200; attempt++ {
			id := ident.AttemptID(fmt.Sprint("a", attempt))
			offset := a.BeginAttempt(id)
			for offset <= total {
				sender := []byte(id)
				if rapid.IntRange(0, 9).Draw(t, "foreign") == 0 {
					sender = []byte("other")
				}
				sentOffset := offset + rapid.SampledFrom([]int{0, 0, 0, 0, 0, -1, 1}).Draw(t, "shift")
				action := deliverFrame(&a, sender, sentOffset, total, &delivered)
				if action == Resume {
					break
				}
				if action == Deliver {
					offset++
				}
			}
		}
		assert.Equal(t, a.NextOffset(), len(delivered))
		for i, offset := range delivered {
			assert.Equal(t, i, offset)
		}
		if a.Ended() {
			assert.Equal(t, len(delivered), total)
		}
	})
}

// deliverFrame passes one frame, or the end marker, of an answer with total frames
// to the assembler.
func deliverFrame(a *Assembler, sender []byte, offset, total int, delivered *[]int) FrameAction {
	if offset == total {
		return a.AcceptEnd(sender, offset)
	}
	action := a.AcceptFrame(sender, offset)
	if action == Deliver {
		*delivered = append(*delivered, offset)
	}
	return action
}
