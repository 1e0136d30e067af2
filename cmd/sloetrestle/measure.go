package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"sloetrestle/internal/measure"
)

func measureCommand() *cobra.Command {
	var asJSON bool
	plan := measure.Plan{}
	command := &cobra.Command{
		Use: "measure", Short: "Measure what one dispatcher adds to latency and costs, on this machine", Args: cobra.NoArgs,
		Long: `Measure runs a dispatcher process against idle test backends at fixed rates, sends the same calls to the
backends directly, then holds many streams open. It uses loopback only and ends by itself.`,
	}
	command.RunE = markErrors(func(cmd *cobra.Command, _ []string) error {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		plan.ServeCommand = []string{self, "serve", "--level", "warn", "--config"}
		plan.Logf = func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) }
		report, err := measure.Run(cmd.Context(), plan)
		if err != nil || !asJSON {
			return err
		}
		return json.NewEncoder(cmd.OutOrStdout()).Encode(report)
	})
	command.AddCommand(measureAddressesCommand())
	command.Flags().IntSliceVar(&plan.Rates, "rates", []int{100, 300, 600},
		"requests per second, one rate after the other")
	command.Flags().Float64Var(&plan.Seconds, "seconds", 5,
		"length of each rate; each runs twice, directly and through the dispatcher")
	command.Flags().IntVar(&plan.Streams, "streams", 1000, "streams held open at once")
	command.Flags().BoolVar(&asJSON, "json", false, "print the results as JSON")
	return command
}

func measureAddressesCommand() *cobra.Command {
	var attempts int
	var asJSON bool
	command := &cobra.Command{
		Use: "addresses", Args: cobra.NoArgs,
		Short: "Measure attempts while one address of a backend is faulty, and compare with two simpler dialers",
		RunE: markErrors(func(cmd *cobra.Command, _ []string) error {
			results, err := measure.CompareDialers(cmd.Context(), attempts, func(format string, args ...any) {
				fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...)
			})
			if err != nil || !asJSON {
				return err
			}
			return json.NewEncoder(cmd.OutOrStdout()).Encode(results)
		}),
	}
	command.Flags().IntVar(&attempts, "trips", 200, "attempts for each fault and dialer, one after the other")
	command.Flags().BoolVar(&asJSON, "json", false, "print the results as JSON")
	return command
}
