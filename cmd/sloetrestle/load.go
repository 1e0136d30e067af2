package main

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/day"
	"sloetrestle/internal/endpointlist"
	"sloetrestle/internal/fakes"
	"sloetrestle/internal/load"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
)

func loadCommand() *cobra.Command {
	var addrs []string
	var trace string
	var seconds, rateFactor float64
	var asJSON bool
	command := &cobra.Command{
		Use:   "load DAY.toml --to ADDRESS[,ADDRESS]",
		Short: "Send the traffic of a scenario or a trace to running dispatchers, open loop", Args: cobra.ExactArgs(1),
		Long: `Load sends the scenario's traffic, or a trace's arrivals (CSV with a header, or JSON lines: at_ms, grade,
tokens, shared, shared_tokens, session, max_tokens, channel). Arrivals never wait for answers, and latencies count
from the time a request was due. The scenario's bursts, clients that leave and slow clients are played; faults of
backends are not.`,
		Example: "  sloetrestle box examples/quiet.toml --list 127.0.0.1:8000 &\n" +
			"  sloetrestle serve --config d.toml &\n" +
			"  sloetrestle load examples/quiet.toml --to 127.0.0.1:8100",
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			scenario, err := day.Load(args[0])
			if err != nil {
				return err
			}
			scenario.Header.RequestsPerSecond *= rateFactor
			if seconds > 0 {
				scenario.Header.Duration = setup.Duration(time.Duration(seconds * float64(time.Second)))
			}
			requests := scenario.Plan()
			if trace != "" {
				if requests, err = load.ReadTrace(trace, scenario.Deployment); err != nil {
					return err
				}
			}
			results, err := load.Run(cmd.Context(), scenario.Model, addrs, requests, func(format string, a ...any) {
				fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", a...)
			})
			if err != nil && results == nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(results)
			}
			table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(table, "grade\tasked\tin time\tsatisfied\tdeclined\tforfeited\tcut\tleft\t"+
				"p50 ms\tp90 ms\tp99 ms\tmost ms\t")
			for _, s := range results {
				fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t\n", s.Class, s.Sent, s.InTime,
					s.Served, s.Rejected, s.Failed, s.Cut, s.Abandoned, s.P50, s.P90, s.P99, s.Max)
			}
			return table.Flush()
		}),
	}
	command.Flags().StringSliceVar(&addrs, "to", []string{"127.0.0.1:8100"}, "dispatchers to send to, in turn")
	command.Flags().StringVar(&trace, "trace", "", "file of arrivals to send in place of the scenario's traffic")
	command.Flags().Float64Var(&seconds, "seconds", 0, "length in place of the scenario's")
	command.Flags().Float64Var(&rateFactor, "times", 1, "factor on the scenario's requests per second")
	command.Flags().BoolVar(&asJSON, "json", false, "print the results as JSON")
	return command
}

// emulateCommand serves the emulated backends of a scenario and their service discovery until it is stopped, for
// dispatchers that are started by hand.
func emulateCommand() *cobra.Command {
	var discoveryAddr string
	var port int
	command := &cobra.Command{
		Use:   "box DAY.toml",
		Short: "Serve a scenario's emulated backends and their service discovery until stopped", Args: cobra.ExactArgs(1),
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			scenario, err := day.Load(args[0])
			if err != nil {
				return err
			}
			return serveBackends(cmd.Context(), scenario, discoveryAddr, port, func(format string, a ...any) {
				fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", a...)
			})
		}),
	}
	command.Flags().StringVar(&discoveryAddr, "list", "127.0.0.1:8000", "listen address of service discovery")
	command.Flags().IntVar(&port, "port", 8200, "port of the first backend; the others follow")
	return command
}

func serveBackends(
	ctx context.Context, scenario day.Scenario, discoveryAddr string, port int, logf func(string, ...any),
) error {
	recorder, err := record.Open("", record.Header{})
	if err != nil {
		return err
	}
	recorder.DiscardEvents = true // bounds memory: the command may run for days
	profiles := map[string]fakes.ClassProfile{}
	for _, t := range scenario.Traffic {
		profiles[t.Class] = scenario.RequestShape(t.Class)
	}
	fleet := fakes.NewFleet(scenario.Deployment, recorder,
		fakes.Links{SameRack: scenario.Links.NearTokensPerSecond, CrossRack: scenario.Links.FarTokensPerSecond,
			ZoneFactor: scenario.Links.CrossZoneFactor}, profiles)
	defer fleet.Close()
	discovery := fleet.NewDiscovery(discoveryAddr)
	if err := discovery.Start(); err != nil {
		return err
	}
	defer discovery.Stop()
	for _, spec := range scenario.BackendSpecs() {
		addr := addresses.Spec{Network: addresses.TCP4, Addr: fmt.Sprintf("127.0.0.1:%d", port)}
		port++
		backend := fleet.NewBackend(fakes.Config{
			Name: spec.Name, Kind: spec.Kind, Role: spec.Role, Zone: spec.Zone, Rack: spec.Rack, Units: spec.Units,
			Seed:   scenario.Header.Seed,
			Engine: spec.Engine, Addresses: []addresses.Spec{addr},
		})
		if err := backend.Boot(false); err != nil {
			return err
		}
		defer backend.Kill("stopped")
		discovery.Publish(backend, endpointlist.Ready, 0)
		logf("%-12s %-7s %s", spec.Name, spec.Role, addr)
	}
	logf("service discovery listens at %s; these backends are emulated", discoveryAddr)
	<-ctx.Done()
	return nil
}
