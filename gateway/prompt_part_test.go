package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/quarantine"
	standin "github.com/bulrushfall/bulrushfall/standin/engine"
	"github.com/bulrushfall/bulrushfall/telemetry"
)

// Guards against engines crashing one after the other because of a message that different
// completions share, and against refusing sound completions that share the other messages.
func TestPromptPartThatCrashesEngines(t *testing.T) {
	const engines, stabilityTime, maxLateCrashes = 16, 3 * time.Second, 3
	cfg := standin.DefaultConfig()
	cfg.PoisonMarker, cfg.ColdTime, cfg.LoadTime, cfg.RestartDelay = "poison", 0, 0, time.Hour
	h := newHarness(t, engines, cfg, func(o *Options) {
		b := NewBalancer(o.Self, o.Snapshot, o.Now, telemetry.New())
		go b.Run(t.Context())
		go serveCredits(t.Context(), b, o.Snapshot, o.Now, 20*time.Millisecond, time.Hour)
		o.Quarantine = NewQuarantine(quarantine.DefaultConfig(), OrderOptions{
			Snapshot: o.Snapshot, Now: o.Now, Self: o.Self, Scope: o.Metrics.Scope,
		})
		o.Router = o.Quarantine.Router(b)
	})
	chat := func(messages ...string) []byte {
		r := engine.CompletionRequest{Model: testService, MaxTokens: 4, Stream: true}
		for _, m := range messages {
			r.Messages = append(r.Messages, engine.Message{Role: "user", Content: m})
		}
		body, err := json.Marshal(r)
		assert.NilError(t, err)
		return body
	}
	lost := func() int {
		n := 0
		for _, e := range h.engines {
			if _, err := engine.NewControl().Status(t.Context(), e.Addr()); err != nil {
				n++
			}
		}
		return n
	}
	post := func(body []byte) int {
		resp := h.postTo(chatPath, body, HeaderDeadline, "3000")
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	h.waitFor("credits are granted", func() bool { return post(chat("shared", "topic", "first")) == http.StatusOK })
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
					post(chat("shared", "topic", fmt.Sprintf("sound %d-%d", i, n)))
				}
			}
		})
	}
	for n := 0; n < 10 && lost() < 5; n++ {
		post(chat("shared", "topic", "poison", fmt.Sprint("question ", n)))
	}
	time.Sleep(stabilityTime)
	before := lost()
	for n := range 6 {
		post(chat("shared", "topic", "poison", fmt.Sprint("late question ", n)))
	}
	late := lost() - before
	close(stop)
	wg.Wait()
	assert.Assert(t, before > 0, "the fault was not injected")
	assert.Assert(t, late <= maxLateCrashes, "%d more engines crashed", late)
	assert.Equal(t, post(chat("shared", "topic", "after")), http.StatusOK)
}
