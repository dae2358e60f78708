// Command bulrushctl is the operators' command line tool: it edits service
// documents, drains data centres, instances and partners, checks files, records
// and replays traces, and explains requests from logs.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// version is set by the linker.
var version = "development"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr, os.Getenv))
}

// run runs one command and returns its exit code. Usage errors end the process
// with exit code 2 inside flaggy.
func run(ctx context.Context, args []string, stdout, stderr io.Writer, env func(string) string) int {
	t := &tool{ctx: ctx, stdout: stdout, stderr: stderr, env: env}
	command, err := t.parse(args)
	if err == nil {
		err = command()
	}
	return t.reportError(err)
}
