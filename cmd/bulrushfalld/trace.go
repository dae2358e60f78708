package main

import (
	"time"

	"github.com/bulrushfall/bulrushfall/settings"
	"github.com/bulrushfall/bulrushfall/trace"
)

// newRecorder returns the trace recorder and starts it if the settings enable
// tracing. It allocates no buffer before it is started.
func newRecorder(cfg settings.Trace, now func() time.Duration) *trace.Recorder {
	r := trace.NewRecorder(cfg.MaxBytes, now)
	if cfg.Enabled {
		r.Start()
	}
	return r
}
