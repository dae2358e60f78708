// Package stream assembles the frames of one or more attempts into one streamed
// answer without missing or duplicate frames and without frames of another attempt.
// It does no I/O.
package stream

import "github.com/bulrushfall/bulrushfall/ident"

// FrameAction is what the receiver must do with a frame.
type FrameAction uint8

// Actions for a frame.
const (
	// Deliver means that the frame is the next part of the answer and must be
	// passed on to the reader.
	Deliver FrameAction = iota + 1
	// Skip means that the frame was delivered before and must be dropped.
	Skip
	// Resume means that the connection is unusable, because the frame belongs to
	// another attempt or leaves a gap. The answer must be resumed with a new attempt
	// from the delivered offset.
	Resume
)

// Assembler tracks which frames of one answer were delivered. The zero value
// starts at offset 0.
type Assembler struct {
	attempt    ident.AttemptID
	nextOffset int
	ended      bool
}

// SetOffset sets the first offset to deliver, for a reader that reconnects and
// already has the frames before it.
func (a *Assembler) SetOffset(offset int) { a.nextOffset = offset }

// BeginAttempt starts an attempt and returns the offset of its first frame.
func (a *Assembler) BeginAttempt(attempt ident.AttemptID) int {
	a.attempt = attempt
	return a.nextOffset
}

// NextOffset returns the offset of the next frame to deliver.
func (a *Assembler) NextOffset() int { return a.nextOffset }

// Ended reports whether the end marker of the answer was delivered.
func (a *Assembler) Ended() bool { return a.ended }

// AcceptFrame returns the action for a frame. If that is Deliver, it advances the
// offset.
func (a *Assembler) AcceptFrame(attempt []byte, offset int) FrameAction {
	switch {
	case a.ended, string(attempt) != string(a.attempt), offset > a.nextOffset:
		return Resume
	case offset < a.nextOffset:
		return Skip
	}
	a.nextOffset++
	return Deliver
}

// AcceptEnd returns the action for the end marker. Its offset is the number of frames
// before it, so an end marker before the last frame counts as a gap.
func (a *Assembler) AcceptEnd(attempt []byte, offset int) FrameAction {
	if a.ended || string(attempt) != string(a.attempt) || offset != a.nextOffset {
		return Resume
	}
	a.ended = true
	return Deliver
}
