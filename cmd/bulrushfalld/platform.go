package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/bulrushfall/bulrushfall/edge"
	"github.com/bulrushfall/bulrushfall/platform"
	"github.com/bulrushfall/bulrushfall/telemetry"
)

const (
	// maxLogLinesPerSecond bounds the rate of log lines.
	maxLogLinesPerSecond = 300
	// memoryLimitBytes is the Go runtime's soft memory limit, near which garbage
	// collection runs more often.
	memoryLimitBytes = 100 << 20
)

// runPlatform runs an entry instance on the platform and returns the exit code.
// SIGHUP makes it read and log the settings again; changes apply at a restart.
func runPlatform(logLevel string) int {
	set, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	log, err := telemetry.NewLogger(telemetry.NewAsyncWriter(os.Stdout, maxLogLinesPerSecond), logLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	debug.SetMemoryLimit(memoryLimitBytes)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	rereadSettings := make(chan struct{}, 1)
	go func() {
		for range hangups {
			select {
			case rereadSettings <- struct{}{}:
			default: // A reading is already pending.
			}
		}
	}()
	node := edge.New(set, platform.NewPlatform(set), log, telemetry.New())
	if err := node.Run(ctx, rereadSettings); err != nil {
		log.WithError(err).Error("daemon failed")
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return exitOK
}
