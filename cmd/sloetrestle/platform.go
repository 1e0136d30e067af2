package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"sloetrestle/internal/platform"
	"sloetrestle/internal/system"
)

func platformCommand() *cobra.Command { return newPlatformCommand("platform", realSystem) }

// newPlatformCommand returns the platform command under the given name; openSystem provides the system calls that it
// makes.
func newPlatformCommand(name string, openSystem func() (system.System, error)) *cobra.Command {
	var level string
	command := &cobra.Command{
		Use:   name,
		Short: "Run one dispatcher as the users' platform starts it",
		Long: `Platform runs one dispatcher behind the platform's frontend, configured by the file that
BALANCER_CONFIG names. On SIGHUP it reloads the file; on SIGTERM it answers the requests in progress and exits
with 0. The log goes to standard error.`,
		Args: cobra.NoArgs,
	}
	command.Flags().StringVar(&level, "level", "info", "lowest level to log: debug, info, warn, error")
	command.RunE = markErrors(func(cmd *cobra.Command, _ []string) error {
		reload := make(chan os.Signal, 1)
		signal.Notify(reload, syscall.SIGHUP) // first of all: an unhandled SIGHUP ends the process
		log, err := newLogger(cmd.ErrOrStderr(), "text", level)
		if err != nil {
			return err
		}
		sys, err := openSystem()
		if err != nil {
			return err
		}
		return platform.RunConfigured(cmd.Context(), sys, reload, log)
	})
	return command
}
