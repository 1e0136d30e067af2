package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"sloetrestle/internal/day"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/experiment"
)

func experimentCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use: "experiment", Short: "Run scenarios repeatedly with one setting varied at a time, and store the results",
	}
	command.PersistentFlags().StringVar(&file, "store", "experiments.db", "file that stores the results")
	withStore := func(
		do func(cmd *cobra.Command, store *experiment.Store, args []string) error,
	) func(*cobra.Command, []string) error {
		return markErrors(func(cmd *cobra.Command, args []string) error {
			store, err := experiment.OpenStore(file)
			if err != nil {
				return err
			}
			defer store.Close()
			return do(cmd, store, args)
		})
	}
	withRuns := func(
		do func(cmd *cobra.Command, runs []experiment.Run, args []string) error,
	) func(*cobra.Command, []string) error {
		return withStore(func(cmd *cobra.Command, store *experiment.Store, args []string) error {
			runs, err := store.Runs(args[0])
			if err != nil {
				return err
			}
			return do(cmd, runs, args)
		})
	}
	run := &cobra.Command{
		Use: "run PLAN.toml", Args: cobra.ExactArgs(1),
		Short: "Run what is missing from a plan; an interrupted plan is resumed",
		RunE: withStore(func(cmd *cobra.Command, store *experiment.Store, args []string) error {
			plan, err := experiment.LoadPlan(args[0])
			if err != nil {
				return err
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			stage := day.RunOptions{ServeCommand: []string{self, "serve", "--level", "warn", "--config"}}
			return experiment.Execute(cmd.Context(), store, plan, dispatch.Version, stage, func(format string, a ...any) {
				fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", a...)
			})
		}),
	}
	list := &cobra.Command{
		Use: "list", Short: "List the experiments", Args: cobra.NoArgs,
		RunE: withStore(func(cmd *cobra.Command, store *experiment.Store, _ []string) error {
			names, runCounts, err := store.Names()
			for _, name := range names {
				fmt.Fprintf(cmd.OutOrStdout(), "%-30s %d runs\n", name, runCounts[name])
			}
			return err
		}),
	}
	var figures []string
	show := &cobra.Command{
		Use: "show NAME", Short: "Print a table of medians with their spread over the repeats", Args: cobra.ExactArgs(1),
		RunE: withRuns(func(cmd *cobra.Command, runs []experiment.Run, _ []string) error {
			return experiment.Table(cmd.OutOrStdout(), runs, figures)
		}),
	}
	show.Flags().StringSliceVar(&figures, "figures", []string{"service", "first_p50_ms", "first_p99_ms", "declined"},
		"figures to print")
	var by, figure string
	compare := &cobra.Command{
		Use: "compare NAME --by KEY", Args: cobra.ExactArgs(1),
		Short: "Compare each value of a key with the first, and say whether the difference exceeds the noise",
		RunE: withRuns(func(cmd *cobra.Command, runs []experiment.Run, _ []string) error {
			diffs, err := experiment.Compare(runs, by, figure)
			if err != nil {
				return err
			}
			table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
			fmt.Fprintf(table, "alike\t%s\tagainst\t%s\t\tdifference\tbeyond the noise\n", by, figure)
			for _, d := range diffs {
				fmt.Fprintf(table, "%s\t%s\t%s\t%.3f\t%.3f\t%+.3f\t%v\n", d.Setting, d.Value, d.Reference, d.Medians[1],
					d.Medians[0],
					d.Medians[1]-d.Medians[0], d.Significant)
			}
			return table.Flush()
		}),
	}
	compare.Flags().StringVar(&by, "by", "policy", "key whose values are compared")
	compare.Flags().StringVar(&figure, "figure", "service", "figure to compare")
	var xKey, linesKey, output, title string
	var where []string
	chart := &cobra.Command{
		Use: "chart NAME --x KEY -o FILE.svg", Short: "Draw medians with their spread", Args: cobra.ExactArgs(1),
		RunE: withRuns(func(cmd *cobra.Command, runs []experiment.Run, args []string) error {
			if title == "" {
				title = args[0] + " (emulated)"
			}
			for _, condition := range where {
				key, value, _ := strings.Cut(condition, "=")
				var matching []experiment.Run
				for _, r := range runs {
					if r.Setting[key] == value {
						matching = append(matching, r)
					}
				}
				runs = matching
			}
			if xKey == "second" {
				return experiment.TimeChart(runs, figure, linesKey, output, title)
			}
			return experiment.Chart(runs, xKey, figure, linesKey, output, title)
		}),
	}
	chart.Flags().StringVar(&xKey, "x", "",
		"key on the x axis; second: the figure share or tries over the seconds of the scenario")
	chart.Flags().StringVar(&figure, "figure", "service", "figure to draw")
	chart.Flags().StringVar(&linesKey, "lines", "policy", "key whose values get a line each")
	chart.Flags().StringSliceVar(&where, "where", nil, "only runs with KEY=VALUE")
	chart.Flags().StringVarP(&output, "output", "o", "chart.svg", "file to write, .svg or .png")
	chart.Flags().StringVar(&title, "title", "", "title of the chart")
	export := &cobra.Command{
		Use: "export NAME", Short: "Print all runs as CSV", Args: cobra.ExactArgs(1),
		RunE: withRuns(func(cmd *cobra.Command, runs []experiment.Run, _ []string) error {
			return experiment.CSV(cmd.OutOrStdout(), runs)
		}),
	}
	command.AddCommand(run, list, show, compare, chart, export)
	return command
}
