package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"sloetrestle/internal/soak"
	"sloetrestle/internal/system"
)

// soakCommand runs real dispatcher processes through random faults.
func soakCommand() *cobra.Command {
	var options soak.Options
	var seeds int
	var shrink bool
	command := &cobra.Command{
		Use:   "soak",
		Short: "Run real dispatcher processes through random faults, and check what clients and backends saw",
		Long: `Soak starts dispatchers of the users' platform as processes on loopback, with backends, discovery and
clients of its own, and injects overlapping faults: signals, reloads, system calls that fail, steps of the wall
clock, backends, links and discovery that misbehave. The oracle reads only what clients, backends and discovery
recorded. Exit code 1: a rule or term was violated.`,
		Args: cobra.NoArgs,
	}
	flags := command.Flags()
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the first run")
	flags.IntVar(&seeds, "seeds", 1, "number of runs, each with the next seed")
	flags.IntVar(&options.Processes, "processes", 10, "dispatchers, 1 to 40")
	flags.DurationVar(&options.Length, "seconds", 30*time.Second, "length of a run, such as 30s")
	flags.DurationVar(&options.FaultInterval, "every", 400*time.Millisecond, "mean time between two faults")
	flags.IntVar(&options.Clients, "clients", 6, "clients for each dispatcher")
	flags.IntVar(&options.Backends, "backends", 0, "backends, up to 3200; 0: five")
	flags.Float64Var(&options.Rate, "rate", 0,
		"open-loop requests per second for each dispatcher, in addition to those of the clients that wait for answers")
	flags.StringVar(&options.Dir, "record", "", "folder for schedules and logs")
	flags.BoolVar(&shrink, "shrink", false, "drop faults from a failing schedule as long as it still fails")
	command.RunE = markErrors(func(cmd *cobra.Command, _ []string) error {
		if options.Processes < 1 || options.Processes > 40 {
			return fmt.Errorf("--processes is %d, must be 1 to 40", options.Processes)
		}
		// Each dispatcher gets a listener of its own for each backend.
		if options.Backends != 0 && options.Backends < 5 || options.Backends > 3200 ||
			options.Backends*options.Processes > 16000 {
			return fmt.Errorf("%d backends for %d processes: must be 5 to 3200 backends, with 16,000 listeners in all at most",
				options.Backends, options.Processes)
		}
		program, err := os.Executable()
		if err != nil {
			return err
		}
		options.Command = []string{program, "soak-dispatcher", "--level", "debug"}
		failed, unjudged, dir, firstSeed := 0, 0, options.Dir, options.Seed
		for i := range seeds {
			options.Seed = firstSeed + uint64(i)
			if dir != "" {
				options.Dir = filepath.Join(dir, fmt.Sprintf("seed-%d", options.Seed))
				if err := os.MkdirAll(options.Dir, 0o755); err != nil {
					return err
				}
			}
			result, err := soak.Run(cmd.Context(), options)
			if err != nil {
				return err
			}
			result.Table(cmd.OutOrStdout())
			if result.Inconclusive {
				unjudged++
				continue
			}
			if len(result.Violations) == 0 {
				continue
			}
			failed++
			if shrink {
				printShortest(cmd, options, result)
			}
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%d of %d runs broke a rule, %d were not judged\n", failed, seeds, unjudged)
		if failed > 0 {
			return errViolation
		}
		return nil
	})
	return command
}

// printShortest prints the faults of the shortest schedule that still fails.
func printShortest(cmd *cobra.Command, options soak.Options, result soak.Result) {
	shortest := soak.Shrink(result.Faults, func(faults []soak.Fault) bool {
		rerun := options
		rerun.Faults, rerun.Dir = faults, ""
		got, err := soak.Run(cmd.Context(), rerun)
		return err == nil && len(got.Violations) > 0
	})
	for _, fault := range shortest {
		fmt.Fprintln(cmd.OutOrStdout(), "needed:", fault)
	}
}

// soakDispatcherCommand is the platform command with system calls that a soak controls.
func soakDispatcherCommand() *cobra.Command {
	c := newPlatformCommand("soak-dispatcher", func() (system.System, error) {
		return soak.Shims(os.Getenv(soak.ControlVariable))
	})
	c.Hidden = true
	return c
}

// realSystem returns the operating system's own calls.
func realSystem() (system.System, error) { return system.Real(), nil }
