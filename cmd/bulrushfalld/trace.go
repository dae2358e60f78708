package main

import (
	"time"

	"github.com/bulrushfall/bulrushfall/settings"
	"github.com/bulrushfall/bulrushfall/trace"
)

// newRecorder returns the recorder that the settings ask for, or nil.
func newRecorder(cfg settings.Trace, now func() time.Duration) *trace.Recorder {
	if !cfg.Enabled {
		return nil
	}
	return trace.NewRecorder(cfg.MaxBytes, now)
}
