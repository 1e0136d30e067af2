package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"sloetrestle/internal/overload"
)

// overloadCommand plays misbehaving clients against a dispatcher process with a memory limit.
func overloadCommand() *cobra.Command {
	var options overload.Options
	var limits []int
	var behaviors []string
	var program string
	known := maps.Clone(overload.Behaviors)
	maps.Copy(known, overload.Floods)
	names := slices.Sorted(maps.Keys(known))
	command := &cobra.Command{
		Use:   "overload",
		Short: "Play hundreds of misbehaving clients against a dispatcher process, and measure its memory",
		Long: `Overload starts a dispatcher of the users' platform with a memory limit, which it doesn't enforce, and plays
clients that misbehave beside usual ones: on loopback, one run for each limit and behavior. Exit code 1: a process
exceeded its limit or ended.`,
		Args: cobra.NoArgs,
	}
	flags := command.Flags()
	flags.IntSliceVar(&limits, "memory", []int{32, 40, 64, 96, 192}, "memory limits in MiB")
	flags.StringSliceVar(&behaviors, "behavior", slices.Sorted(maps.Keys(overload.Behaviors)),
		"what the clients do: "+strings.Join(names, ", "))
	flags.StringVar(&program, "program", "", "command line of the dispatcher; empty: this program's platform command")
	flags.IntVar(&options.Sockets, "sockets", 1024, "limit of descriptors")
	flags.IntVar(&options.Clients, "clients", 320, "clients that misbehave")
	flags.IntVar(&options.Usual, "usual", 20, "usual clients, each with one request at a time")
	flags.DurationVar(&options.Length, "seconds", 6*time.Second, "length of a run, such as 30s")
	flags.StringVar(&options.LogFile, "log", "", "file for the dispatcher's log of the last run")
	command.RunE = markErrors(func(cmd *cobra.Command, _ []string) error {
		options.Command = strings.Fields(program)
		if program == "" {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			options.Command = []string{self, "platform"}
		}
		var violation error
		for _, limit := range limits {
			for _, name := range behaviors {
				behavior, found := known[name]
				if !found {
					return fmt.Errorf("--behavior: %q is none of %v", name, names)
				}
				options.MemoryMB, options.Behavior = limit, behavior
				result, err := overload.Run(cmd.Context(), options)
				if err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%3d MB %-14s %v\n", limit, name, result)
				if result.Exited || result.PeakKB > int64(limit)<<10 {
					violation = errViolation
				}
			}
		}
		return violation
	})
	return command
}
