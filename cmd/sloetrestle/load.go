package main

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/boxlist"
	"sloetrestle/internal/day"
	"sloetrestle/internal/load"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
	"sloetrestle/internal/standin"
)

func loadCommand() *cobra.Command {
	var to []string
	var trace string
	var seconds, times float64
	var asJSON bool
	c := &cobra.Command{
		Use: "load DAY.toml --to ADDRESS[,ADDRESS]", Short: "Ask running dispatchers, open loop, what a day or a trace says", Args: cobra.ExactArgs(1),
		Long: `Load asks what the day's traffic says, or a trace's arrivals (CSV with a header, or JSON lines: at_ms, grade,
tokens, shared, shared_tokens, session, max_tokens, channel). Arrivals never wait for answers, and times count from when a
question was due. Bursts, leaving and slow clients of the day's troubles are played; those of boxes are not.`,
		Example: "  sloetrestle box examples/quiet.toml --list 127.0.0.1:8000 &\n  sloetrestle serve --config d.toml &\n  sloetrestle load examples/quiet.toml --to 127.0.0.1:8100",
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			d, err := day.Load(args[0])
			if err != nil {
				return err
			}
			d.Header.RequestsPerSecond *= times
			if seconds > 0 {
				d.Header.Duration = setup.Duration(time.Duration(seconds * float64(time.Second)))
			}
			wishes := d.Plan()
			if trace != "" {
				if wishes, err = load.ReadTrace(trace, d.Deployment); err != nil {
					return err
				}
			}
			f, err := load.Run(cmd.Context(), d.Model, to, wishes, func(format string, a ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", a...) })
			if err != nil && f == nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(f)
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(w, "grade\tasked\tin time\tsatisfied\tdeclined\tforfeited\tcut\tleft\tp50 ms\tp90 ms\tp99 ms\tmost ms\t")
			for _, x := range f {
				fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t\n", x.Grade, x.Asked, x.InTime, x.Satisfied, x.Declined, x.Forfeited, x.Cut, x.Quit, x.P50, x.P90, x.P99, x.Most)
			}
			return w.Flush()
		}),
	}
	c.Flags().StringSliceVar(&to, "to", []string{"127.0.0.1:8100"}, "dispatchers to ask, in turn")
	c.Flags().StringVar(&trace, "trace", "", "arrivals from a file in place of the day's")
	c.Flags().Float64Var(&seconds, "seconds", 0, "length in place of the day's")
	c.Flags().Float64Var(&times, "times", 1, "so many times the day's questions a second")
	c.Flags().BoolVar(&asJSON, "json", false, "print the figures as JSON")
	return c
}

// box serves a day's emulated boxes and their list until it is stopped, for dispatchers that are tried by hand.
func emulateCommand() *cobra.Command {
	var list string
	var port int
	c := &cobra.Command{
		Use: "box DAY.toml", Short: "Serve a day's emulated boxes and their list, until stopped", Args: cobra.ExactArgs(1),
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			d, err := day.Load(args[0])
			if err != nil {
				return err
			}
			return serveBackends(cmd.Context(), d, list, port, func(format string, a ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", a...) })
		}),
	}
	c.Flags().StringVar(&list, "list", "127.0.0.1:8000", "where the box list listens")
	c.Flags().IntVar(&port, "port", 8200, "the first box's port; the others follow")
	return c
}

func serveBackends(ctx context.Context, d day.Scenario, at string, port int, say func(string, ...any)) error {
	book, err := record.Open("", record.Header{})
	if err != nil {
		return err
	}
	book.DiscardEvents = true // it may run for days
	talk := map[string]standin.ClassProfile{}
	for _, t := range d.Traffic {
		talk[t.Class] = d.RequestShape(t.Class)
	}
	fleet := standin.NewFleet(d.Deployment, book, standin.Links{SameRack: d.Links.NearTokensPerSecond, CrossRack: d.Links.FarTokensPerSecond, ZoneFactor: d.Links.CrossZoneFactor}, talk)
	defer fleet.Close()
	list := fleet.NewDiscovery(at)
	if err := list.Start(); err != nil {
		return err
	}
	defer list.Stop()
	for _, m := range d.BackendSpecs() {
		addr := addresses.Spec{Network: addresses.TCP4, Addr: fmt.Sprintf("127.0.0.1:%d", port)}
		port++
		b := fleet.NewBackend(standin.Config{Name: m.Name, Kind: m.Kind, Role: m.Role, Zone: m.Zone, Rack: m.Rack, Units: m.Units, Seed: d.Header.Seed, Engine: m.Engine,
			Addresses: []addresses.Spec{addr}})
		if err := b.Boot(false); err != nil {
			return err
		}
		defer b.Kill("stopped")
		list.Publish(b, boxlist.Ready, 0)
		say("%-12s %-7s %s", m.Name, m.Role, addr)
	}
	say("the list is at %s; these boxes are emulated", at)
	<-ctx.Done()
	return nil
}
