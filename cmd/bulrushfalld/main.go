// Command bulrushfalld is the daemon of an entry instance: it accepts requests
// of callers and forwards them to backend servers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/bulrushfall/bulrushfall/settings"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

// version is set by the linker.
var version = "development"

// flags are the command line flags of the daemon.
type flags struct {
	settingsFile  string
	documentFiles []string
	// runOnPlatform reads settings, routes and backend servers from the platform
	// instead of a settings file.
	runOnPlatform bool
	logLevel      string
}

func parseFlags() flags {
	f := flags{settingsFile: "bulrushfall.yaml", logLevel: "info"}
	flaggy.SetName("bulrushfalld")
	flaggy.SetDescription("daemon of a bulrushfall entry instance")
	flaggy.SetVersion(version)
	flaggy.String(&f.settingsFile, "s", "settings", "settings file (YAML)")
	flaggy.StringSlice(&f.documentFiles, "d", "document", "service document to start with, for trials without a store")
	onPlatform := flaggy.NewSubcommand("platform")
	onPlatform.Description = "run on the platform that describes itself by environment and store"
	onPlatform.String(&f.logLevel, "l", "log-level", "debug, info, warn or error")
	flaggy.AttachSubcommand(onPlatform, 1)
	flaggy.Parse()
	f.runOnPlatform = onPlatform.Used
	return f
}

func main() {
	os.Exit(run(parseFlags()))
}

func run(f flags) int {
	if f.runOnPlatform {
		return runPlatform(f.logLevel)
	}
	cfg, err := settings.Load(f.settingsFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	documents, err := loadDocuments(f.documentFiles)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := newDaemon(cfg, documents)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	if err := d.run(ctx); err != nil {
		d.log.WithError(err).Error("daemon failed")
		return exitFailure
	}
	return exitOK
}
