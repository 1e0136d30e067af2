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
	c := &cobra.Command{
		Use: "measure", Short: "Measure what one dispatcher adds and costs, on this machine", Args: cobra.NoArgs,
		Long: `Measure runs a dispatcher's process against idle stand-ins, at stated rates, beside the same calls made
directly, then holds many streams open. It uses loopback only and ends by itself.`,
	}
	c.RunE = markErrors(func(cmd *cobra.Command, _ []string) error {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		plan.ServeCommand = []string{self, "serve", "--level", "warn", "--config"}
		plan.Logf = func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) }
		f, err := measure.Run(cmd.Context(), plan)
		if err != nil || !asJSON {
			return err
		}
		return json.NewEncoder(cmd.OutOrStdout()).Encode(f)
	})
	c.AddCommand(measureAddressesCommand())
	c.Flags().IntSliceVar(&plan.Rates, "rates", []int{100, 300, 600}, "questions a second, one after the other")
	c.Flags().Float64Var(&plan.Seconds, "seconds", 5, "length of each rate, twice")
	c.Flags().IntVar(&plan.Streams, "streams", 1000, "streams held open at once")
	c.Flags().BoolVar(&asJSON, "json", false, "print the figures as JSON")
	return c
}

func measureAddressesCommand() *cobra.Command {
	var trips int
	var asJSON bool
	c := &cobra.Command{
		Use: "addresses", Short: "Measure trips while one address of a box goes wrong, beside two plain diallers", Args: cobra.NoArgs,
		RunE: markErrors(func(cmd *cobra.Command, _ []string) error {
			ways, err := measure.CompareDialers(cmd.Context(), trips, func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) })
			if err != nil || !asJSON {
				return err
			}
			return json.NewEncoder(cmd.OutOrStdout()).Encode(ways)
		}),
	}
	c.Flags().IntVar(&trips, "trips", 200, "trips for each fault and dialler, one after the other")
	c.Flags().BoolVar(&asJSON, "json", false, "print the figures as JSON")
	return c
}
