package platform

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// weightChunk is the unit in which concurrent loads share the rate.
const weightChunk = 64 << 20

// Load is the answer of the weight store when a load has finished.
type Load struct {
	Model        string `json:"model"`
	Version      string `json:"version"`
	Bytes        int64  `json:"bytes"`
	WaitedMillis int64  `json:"waited_millis"`
}

// weightStore grants bytes at a rate to a bounded number of concurrent loads.
type weightStore struct {
	slots chan struct{}
	limit *rate.Limiter
}

func newWeightStore(cfg Config) *weightStore {
	return &weightStore{
		slots: make(chan struct{}, max(1, cfg.WeightSlots)),
		limit: rate.NewLimiter(rate.Limit(cfg.WeightBytesPerSecond), weightChunk),
	}
}

// load waits for a slot and for the bytes.
func (s *weightStore) load(ctx context.Context, bytes int64) (time.Duration, error) {
	start := time.Now()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	defer func() { <-s.slots }()
	for left := bytes; left > 0; left -= weightChunk {
		if err := s.limit.WaitN(ctx, int(min(left, weightChunk))); err != nil {
			return 0, err
		}
	}
	return time.Since(start), nil
}
