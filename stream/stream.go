// Package stream assembles the frames of one or more attempts into one answer
// without gaps, repetitions or frames of another answer. It does no I/O.
package stream

import "github.com/bulrushfall/bulrushfall/ident"

// Verdict tells what to do with a frame.
type Verdict uint8

// Verdicts on a frame.
const (
	// Deliver means that the frame is the next part of the answer.
	Deliver Verdict = iota + 1
	// Skip means that the frame was delivered before.
	Skip
	// Resume means that the connection cannot be trusted: the frame belongs to
	// another attempt or leaves a gap. The answer resumes on a new attempt from
	// the delivered offset.
	Resume
)

// Assembler tracks the delivered part of one answer. The zero value starts at
// offset 0.
type Assembler struct {
	attempt ident.AttemptID
	next    int
	done    bool
}

// SetOffset sets the first offset to deliver, for a reader that returns with the
// part before it.
func (a *Assembler) SetOffset(offset int) { a.next = offset }

// BeginAttempt starts an attempt and returns the offset that it resumes from.
func (a *Assembler) BeginAttempt(attempt ident.AttemptID) int {
	a.attempt = attempt
	return a.next
}

// NextOffset returns the offset of the next frame to deliver.
func (a *Assembler) NextOffset() int { return a.next }

// Ended reports whether the end of the answer was delivered.
func (a *Assembler) Ended() bool { return a.done }

// AcceptFrame judges a frame and, for Deliver, advances the delivered offset.
func (a *Assembler) AcceptFrame(attempt []byte, offset int) Verdict {
	switch {
	case a.done, string(attempt) != string(a.attempt), offset > a.next:
		return Resume
	case offset < a.next:
		return Skip
	}
	a.next++
	return Deliver
}

// AcceptEnd judges the end marker, which carries the number of frames before it as
// its offset. An end that comes before the last frame is a gap.
func (a *Assembler) AcceptEnd(attempt []byte, offset int) Verdict {
	if a.done || string(attempt) != string(a.attempt) || offset != a.next {
		return Resume
	}
	a.done = true
	return Deliver
}
