package integration

import (
	"context"
	"sync"
	"testing"
)

// background runs fn until the returned function is called, which waits for it.
func background(t *testing.T, n int, fn func(ctx context.Context, worker int)) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				fn(ctx, i)
			}
		}()
	}
	return func() { cancel(); wg.Wait() }
}
