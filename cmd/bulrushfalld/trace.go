package main

import (
	"time"

	"github.com/bulrushfall/bulrushfall/settings"
	"github.com/bulrushfall/bulrushfall/trace"
)

// newRecorder returns the recorder, which records from the start if the settings
// say so. It holds no memory before it records.
func newRecorder(cfg settings.Trace, now func() time.Duration) *trace.Recorder {
	r := trace.NewRecorder(cfg.MaxBytes, now)
	if cfg.Enabled {
		r.Start()
	}
	return r
}
