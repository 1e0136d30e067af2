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
	c := &cobra.Command{Use: "experiment", Short: "Run days many times, one thing varied at a time, and keep the figures"}
	c.PersistentFlags().StringVar(&file, "store", "experiments.db", "the file that keeps them")
	with := func(do func(cmd *cobra.Command, s *experiment.Store, args []string) error) func(*cobra.Command, []string) error {
		return markErrors(func(cmd *cobra.Command, args []string) error {
			s, err := experiment.OpenStore(file)
			if err != nil {
				return err
			}
			defer s.Close()
			return do(cmd, s, args)
		})
	}
	runs := func(do func(cmd *cobra.Command, runs []experiment.Run, args []string) error) func(*cobra.Command, []string) error {
		return with(func(cmd *cobra.Command, s *experiment.Store, args []string) error {
			all, err := s.Runs(args[0])
			if err != nil {
				return err
			}
			return do(cmd, all, args)
		})
	}
	run := &cobra.Command{Use: "run PLAN.toml", Short: "Run what a plan lacks; one that was interrupted goes on", Args: cobra.ExactArgs(1),
		RunE: with(func(cmd *cobra.Command, s *experiment.Store, args []string) error {
			p, err := experiment.LoadPlan(args[0])
			if err != nil {
				return err
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			stage := day.RunOptions{ServeCommand: []string{self, "serve", "--level", "warn", "--config"}}
			return experiment.Execute(cmd.Context(), s, p, dispatch.Version, stage, func(f string, a ...any) { fmt.Fprintf(cmd.ErrOrStderr(), f+"\n", a...) })
		})}
	list := &cobra.Command{Use: "list", Short: "List the experiments", Args: cobra.NoArgs, RunE: with(func(cmd *cobra.Command, s *experiment.Store, _ []string) error {
		names, n, err := s.Names()
		for _, name := range names {
			fmt.Fprintf(cmd.OutOrStdout(), "%-30s %d runs\n", name, n[name])
		}
		return err
	})}
	var names []string
	show := &cobra.Command{Use: "show NAME", Short: "A table of medians, with their spread over the repeats", Args: cobra.ExactArgs(1),
		RunE: runs(func(cmd *cobra.Command, all []experiment.Run, _ []string) error {
			return experiment.Table(cmd.OutOrStdout(), all, names)
		})}
	show.Flags().StringSliceVar(&names, "figures", []string{"service", "first_p50_ms", "first_p99_ms", "declined"}, "which figures")
	var by, figure string
	compare := &cobra.Command{Use: "compare NAME --by KEY", Short: "Set each value of a key beside the first, and tell whether the difference exceeds the noise", Args: cobra.ExactArgs(1),
		RunE: runs(func(cmd *cobra.Command, all []experiment.Run, _ []string) error {
			diffs, err := experiment.Compare(all, by, figure)
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
			fmt.Fprintf(w, "alike\t%s\tagainst\t%s\t\tdifference\tbeyond the noise\n", by, figure)
			for _, d := range diffs {
				fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%.3f\t%+.3f\t%v\n", d.Setting, d.Value, d.Reference, d.Medians[1], d.Medians[0], d.Medians[1]-d.Medians[0], d.Significant)
			}
			return w.Flush()
		})}
	compare.Flags().StringVar(&by, "by", "policy", "the key")
	compare.Flags().StringVar(&figure, "figure", "service", "the figure")
	var x, lines, out, title string
	var where []string
	chart := &cobra.Command{Use: "chart NAME --x KEY -o FILE.svg", Short: "Draw medians with their spread", Args: cobra.ExactArgs(1),
		RunE: runs(func(cmd *cobra.Command, all []experiment.Run, args []string) error {
			if title == "" {
				title = args[0] + " (emulated)"
			}
			for _, w := range where {
				key, value, _ := strings.Cut(w, "=")
				var some []experiment.Run
				for _, r := range all {
					if r.Setting[key] == value {
						some = append(some, r)
					}
				}
				all = some
			}
			if x == "second" {
				return experiment.TimeChart(all, figure, lines, out, title)
			}
			return experiment.Chart(all, x, figure, lines, out, title)
		})}
	chart.Flags().StringVar(&x, "x", "", "the key along the chart; second: the figure share or tries over the seconds of the day")
	chart.Flags().StringVar(&figure, "figure", "service", "the figure")
	chart.Flags().StringVar(&lines, "lines", "policy", "a line for each value of this key")
	chart.Flags().StringSliceVar(&where, "where", nil, "only runs with KEY=VALUE")
	chart.Flags().StringVarP(&out, "output", "o", "chart.svg", "file, .svg or .png")
	chart.Flags().StringVar(&title, "title", "", "title")
	export := &cobra.Command{Use: "export NAME", Short: "All runs as CSV", Args: cobra.ExactArgs(1),
		RunE: runs(func(cmd *cobra.Command, all []experiment.Run, _ []string) error {
			return experiment.CSV(cmd.OutOrStdout(), all)
		})}
	c.AddCommand(run, list, show, compare, chart, export)
	return c
}
