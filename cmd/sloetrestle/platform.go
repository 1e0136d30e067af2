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

// platformWith is the command by a name, on a system.
func newPlatformCommand(name string, open func() (system.System, error)) *cobra.Command {
	var level string
	c := &cobra.Command{
		Use:   name,
		Short: "Run one dispatcher as the users' platform starts it",
		Long: `Platform runs one dispatcher behind the platform's front, by the file that BALANCER_CONFIG names. On SIGHUP it reads
the file anew; on SIGTERM it answers what it has and exits with 0. The log goes to standard error.`,
		Args: cobra.NoArgs,
	}
	c.Flags().StringVar(&level, "level", "info", "least level of the log: debug, info, warn, error")
	c.RunE = markErrors(func(cmd *cobra.Command, _ []string) error {
		reload := make(chan os.Signal, 1)
		signal.Notify(reload, syscall.SIGHUP) // which would end the program
		log, err := newLogger(cmd.ErrOrStderr(), "text", level)
		if err != nil {
			return err
		}
		read := func() (platform.Config, error) { return platform.Load(os.Getenv("BALANCER_CONFIG"), os.Getenv) }
		place, err := read()
		if err != nil {
			return err
		}
		sys, err := open()
		if err != nil {
			return err
		}
		return platform.Run(cmd.Context(), place, sys, reload, read, log)
	})
	return c
}
