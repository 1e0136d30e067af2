// Sloetrestle-platform runs one dispatcher as the users' platform starts it, like "sloetrestle platform". It is a program
// of its own since the pages of a program count against a dispatcher's memory limit: it has none of the other commands.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"sloetrestle/internal/platform"
	"sloetrestle/internal/system"
)

// Exit codes, as those of sloetrestle.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP) // first of all: an unhandled SIGHUP ends the process
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var level slog.Level
	flag.TextVar(&level, "level", slog.LevelInfo, "lowest level to log: debug, info, warn, error")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "sloetrestle-platform: unexpected argument %q\n", flag.Arg(0))
		os.Exit(exitUsage)
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	if err := platform.RunConfigured(ctx, system.Real(), reloads, log); err != nil {
		fmt.Fprintln(os.Stderr, "sloetrestle-platform:", err)
		os.Exit(exitFailed)
	}
}
