package configshell

import (
	"context"
	"time"

	"github.com/bulrushfall/bulrushfall/config"
)

// loopQueue bounds the queued functions of a Loop.
const loopQueue = 256

// Loop is a control goroutine for a single Shell. The daemon has its own control
// goroutine; Loop is for measurements, tests and programs that run only the
// configuration.
type Loop struct {
	ctx   context.Context
	queue chan func(now time.Duration)
	start time.Time
}

// NewLoop returns a loop that stops when ctx ends.
func NewLoop(ctx context.Context) *Loop {
	return &Loop{ctx: ctx, queue: make(chan func(time.Duration), loopQueue), start: time.Now()}
}

// Post queues a function for the loop and reports false if the loop's context was
// cancelled first. Pass l.Post to New as the Post function.
func (l *Loop) Post(fn func(now time.Duration)) bool {
	select {
	case l.queue <- fn:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// Run runs posted functions and ticks until the context ends.
func (l *Loop) Run(s *Shell) {
	t := time.NewTicker(config.TickInterval)
	defer t.Stop()
	s.Step(time.Since(l.start), config.Tick{})
	for {
		select {
		case <-l.ctx.Done():
			return
		case fn := <-l.queue:
			fn(time.Since(l.start))
		case <-t.C:
			s.Step(time.Since(l.start), config.Tick{})
		}
	}
}
