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

// soakCommand plays real processes through random faults.
func soakCommand() *cobra.Command {
	var o soak.Options
	var seeds int
	var shrink bool
	c := &cobra.Command{
		Use:   "soak",
		Short: "Play real dispatcher processes through faults that a seed draws, and judge the far ends' record",
		Long: `Soak starts dispatchers of the users' platform as processes on loopback, with backends, discovery and clients of its own, and has
faults overlap: signals, reloads, system calls that fail, steps of the wall clock, backends, links and discovery that misbehave. The
oracle reads the far ends' record only. Exit code 1: a rule or term was broken.`,
		Args: cobra.NoArgs,
	}
	f := c.Flags()
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the first run")
	f.IntVar(&seeds, "seeds", 1, "how many runs, each with the next seed")
	f.IntVar(&o.Processes, "processes", 10, "dispatchers, 1 to 40")
	f.DurationVar(&o.Length, "seconds", 30*time.Second, "length of a run, such as 30s")
	f.DurationVar(&o.FaultInterval, "every", 400*time.Millisecond, "between two faults, on the mean")
	f.IntVar(&o.Clients, "clients", 6, "clients for each dispatcher")
	f.IntVar(&o.Backends, "backends", 0, "backends, up to 3200; 0: five")
	f.Float64Var(&o.Rate, "rate", 0, "requests a second for each dispatcher, whatever becomes of the earlier ones, beside those of the clients that wait")
	f.StringVar(&o.Dir, "record", "", "folder for schedules and logs")
	f.BoolVar(&shrink, "shrink", false, "drop faults from a failing schedule as long as it still fails")
	c.RunE = markErrors(func(cmd *cobra.Command, _ []string) error {
		if o.Processes < 1 || o.Processes > 40 {
			return fmt.Errorf("%d processes, 1 to 40 are played", o.Processes)
		}
		if o.Backends != 0 && o.Backends < 5 || o.Backends > 3200 || o.Backends*o.Processes > 16000 {
			return fmt.Errorf("%d backends for %d processes, 5 to 3200 are played, with 16,000 listeners in all", o.Backends, o.Processes)
		}
		program, err := os.Executable()
		if err != nil {
			return err
		}
		o.Command = []string{program, "soak-dispatcher", "--level", "debug"}
		failed, unjudged, dir, first := 0, 0, o.Dir, o.Seed
		for i := range seeds {
			o.Seed = first + uint64(i)
			if dir != "" {
				o.Dir = filepath.Join(dir, fmt.Sprintf("seed-%d", o.Seed))
				if err := os.MkdirAll(o.Dir, 0o755); err != nil {
					return err
				}
			}
			res, err := soak.Run(cmd.Context(), o)
			if err != nil {
				return err
			}
			res.Table(cmd.OutOrStdout())
			if res.Inconclusive {
				unjudged++
				continue
			}
			if len(res.Violations) == 0 {
				continue
			}
			failed++
			if shrink {
				printShortest(cmd, o, res)
			}
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%d of %d runs broke a rule, %d were not judged\n", failed, seeds, unjudged)
		if failed > 0 {
			return errViolation
		}
		return nil
	})
	return c
}

// printShortest prints the shortest schedule that still fails.
func printShortest(cmd *cobra.Command, o soak.Options, res soak.Result) {
	shortest := soak.Shrink(res.Faults, func(faults []soak.Fault) bool {
		again := o
		again.Faults, again.Dir = faults, ""
		got, err := soak.Run(cmd.Context(), again)
		return err == nil && len(got.Violations) > 0
	})
	for _, f := range shortest {
		fmt.Fprintln(cmd.OutOrStdout(), "needed:", f)
	}
}

// soakDispatcherCommand is "platform" with a system that a soak drives.
func soakDispatcherCommand() *cobra.Command {
	c := newPlatformCommand("soak-dispatcher", func() (system.System, error) { return soak.Shims(os.Getenv(soak.ControlVariable)) })
	c.Hidden = true
	return c
}

// realSystem is the operating system itself.
func realSystem() (system.System, error) { return system.Real(), nil }
