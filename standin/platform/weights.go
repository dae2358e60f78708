package platform

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// weightChunkBytes is the number of bytes that a load takes from the shared rate
// limit at a time.
const weightChunkBytes = 64 << 20

// WeightLoad is the response of the weight store to a completed load.
type WeightLoad struct {
	Model        string `json:"model"`
	Version      string `json:"version"`
	Bytes        int64  `json:"bytes"`
	WaitedMillis int64  `json:"waited_millis"`
}

// weightStore limits the bytes per second of all loads together and the number of
// concurrent loads.
type weightStore struct {
	slots   chan struct{}
	limiter *rate.Limiter
}

func newWeightStore(cfg Config) *weightStore {
	return &weightStore{
		slots:   make(chan struct{}, max(1, cfg.WeightSlots)),
		limiter: rate.NewLimiter(rate.Limit(cfg.WeightBytesPerSecond), weightChunkBytes),
	}
}

// load waits for a slot and then for the bytes at the limited rate. It returns the
// time that the load took.
func (s *weightStore) load(ctx context.Context, bytes int64) (time.Duration, error) {
	start := time.Now()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	defer func() { <-s.slots }()
	for left := bytes; left > 0; left -= weightChunkBytes {
		if err := s.limiter.WaitN(ctx, int(min(left, weightChunkBytes))); err != nil {
			return 0, err
		}
	}
	return time.Since(start), nil
}
