package admission

import "time"

// SendDecision says whether a request may be sent to a backend server.
type SendDecision int

const (
	// MaySend means that the caller still waits.
	MaySend SendDecision = iota
	// CallerLeft means that the caller has closed its connection.
	CallerLeft
	// DeadlinePassed means that there is no time left for an answer.
	DeadlinePassed
)

// String returns the name of the decision in logs.
func (d SendDecision) String() string {
	return [...]string{"may-send", "caller-left", "deadline-passed"}[d]
}

// DecideSend decides immediately before a request is sent, or sent again, by what is known then of
// its caller. A deadline of 0 is none; otherwise at least minTime has to be left.
func DecideSend(now, deadline, minTime time.Duration, callerLeft bool) SendDecision {
	switch {
	case callerLeft:
		return CallerLeft
	case deadline != 0 && deadline-now < minTime:
		return DeadlinePassed
	default:
		return MaySend
	}
}
