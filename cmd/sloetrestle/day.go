package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"sloetrestle/examples"
	"sloetrestle/internal/day"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/judge"
	"sloetrestle/internal/reach"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
)

func scenarioCommand() *cobra.Command {
	c := &cobra.Command{Use: "day", Short: "Play and judge scripted days"}
	c.AddCommand(playCommand(), judgeCommand(), faultKindsCommand(), importCommand())
	return c
}

// show prints a verdict and tells by its error whether a rule was broken.
func printVerdict(out io.Writer, v judge.Verdict, asJSON bool) error {
	if asJSON {
		raw, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return err
		}
		fmt.Fprintln(out, string(raw))
	} else {
		fmt.Fprint(out, v.Text())
	}
	if !v.Passed() {
		return errViolation
	}
	return nil
}

func playScenario(cmd *cobra.Command, d day.Scenario, record string, asJSON, quiet bool) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	stage := day.RunOptions{ServeCommand: []string{self, "serve", "--level", "warn", "--config"}, RecordDir: record}
	if !quiet {
		stage.Progress = cmd.ErrOrStderr()
	}
	v, err := day.Run(cmd.Context(), d, stage)
	if err != nil {
		return err
	}
	return printVerdict(cmd.OutOrStdout(), v, asJSON)
}

func playCommand() *cobra.Command {
	var to string
	var asJSON, quiet bool
	c := &cobra.Command{
		Use: "play FILE", Short: "Play a day against real dispatchers, and judge it", Args: cobra.ExactArgs(1),
		Long: `Play starts the day's dispatchers as processes of their own, with stand-ins for boxes, list and clients on
loopback; plays the script; prints progress while it runs, then a table and each rule, kept or broken.`,
		Example: "  sloetrestle day play examples/slow.toml --record /tmp/slow",
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			d, err := day.Load(args[0])
			if err != nil {
				return err
			}
			return playScenario(cmd, d, to, asJSON, quiet)
		}),
	}
	c.Flags().StringVar(&to, "record", "", "folder to keep the record and the dispatchers' files in")
	c.Flags().BoolVar(&asJSON, "json", false, "print the verdict as JSON")
	c.Flags().BoolVar(&quiet, "quiet", false, "print no progress")
	return c
}

func demoCommand() *cobra.Command {
	var asJSON, quiet bool
	c := &cobra.Command{
		Use: "demo", Short: "Play a built-in bad day of about 20 s", Args: cobra.NoArgs,
		Long: "Demo plays examples/demo.toml, which is built in: nothing has to be set up. Its boxes are stand-ins.",
		RunE: markErrors(func(cmd *cobra.Command, _ []string) error {
			d, err := day.Parse("demo.toml", examples.Demo)
			if err != nil {
				return err
			}
			return playScenario(cmd, d, "", asJSON, quiet)
		}),
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print the verdict as JSON")
	c.Flags().BoolVar(&quiet, "quiet", false, "print no progress")
	return c
}

func judgeCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use: "judge DIR", Short: "Judge a kept record again", Args: cobra.ExactArgs(1),
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			head, lines, err := record.Read(args[0])
			if err != nil {
				return err
			}
			v := judge.Check(head, lines)
			if err := day.CheckLedgers(&v, args[0], lines); err != nil {
				return err
			}
			return printVerdict(cmd.OutOrStdout(), v, asJSON)
		}),
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print the verdict as JSON")
	return c
}

func faultKindsCommand() *cobra.Command {
	return &cobra.Command{Use: "kinds", Short: "List the kinds of trouble", Args: cobra.NoArgs, Run: func(cmd *cobra.Command, _ []string) {
		for _, k := range day.FaultKinds {
			fmt.Fprintf(cmd.OutOrStdout(), "%-17s %s", k.Name, k.Description)
			if len(k.RequiredKeys) > 0 {
				fmt.Fprintf(cmd.OutOrStdout(), " (needs %v)", k.RequiredKeys)
			}
			fmt.Fprintln(cmd.OutOrStdout())
		}
	}}
}

func importCommand() *cobra.Command {
	var to string
	var scale day.Scale
	c := &cobra.Command{
		Use: "import DAY.json -o FILE.toml", Short: "Turn a day drawn by the bench into a script", Args: cobra.ExactArgs(1),
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			d, lost, err := day.Import(args[0], raw, scale)
			if err != nil {
				return err
			}
			for _, l := range lost {
				fmt.Fprintln(cmd.ErrOrStderr(), "not carried over:", l)
			}
			var text bytes.Buffer
			if err := toml.NewEncoder(&text).SetIndentTables(false).Encode(d); err != nil {
				return err
			}
			if to == "" {
				_, err = cmd.OutOrStdout().Write(text.Bytes())
				return err
			}
			return os.WriteFile(to, text.Bytes(), 0o644)
		}),
	}
	c.Flags().StringVarP(&to, "output", "o", "", "file to write; without it the script is printed")
	c.Flags().Float64Var(&scale.Duration, "time", 1, "scale of the day's length and of its troubles' times")
	c.Flags().Float64Var(&scale.Rate, "rate", 1, "scale of the questions a second")
	return c
}

// check looks at files of dispatchers and of days, told apart by their tables.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE...", Short: "Check files of dispatchers and of days", Args: cobra.MinimumNArgs(1),
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			bad := 0
			for _, file := range args {
				if err := checkFile(file); err != nil {
					bad++
					fmt.Fprintln(cmd.ErrOrStderr(), err)
					continue
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: fine\n", file)
			}
			if bad > 0 {
				return errViolation
			}
			return nil
		}),
	}
}

func checkFile(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var tables map[string]any
	if toml.Unmarshal(raw, &tables) == nil {
		if _, isDay := tables["day"]; isDay {
			_, err := day.Parse(file, raw)
			return err
		}
	}
	_, err = setup.Load(file)
	return err
}

// ask gets what a running dispatcher tells operators.
func fetchState(address string, into any) error {
	client, err := newClient(address)
	if err != nil {
		return err
	}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://dispatcher/state")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, 16<<20)).Decode(into); err != nil {
		return fmt.Errorf("%s answered no state: %w", address, err)
	}
	return nil
}

// to is a client for one dispatcher's address, such as 127.0.0.1:8100 or unix:/run/d0.sock.
func newClient(address string) (*http.Client, error) {
	spec, err := reach.ParseListen(address)
	if err != nil {
		return nil, err
	}
	return &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, spec.Network, spec.Addr)
	}}}, nil
}

func stateCommand() *cobra.Command {
	return &cobra.Command{
		Use: "state ADDRESS", Short: "Print what a running dispatcher holds and has seen", Args: cobra.ExactArgs(1),
		Example: "  sloetrestle state 127.0.0.1:8100\n  sloetrestle state unix:/run/d0.sock",
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			var seen json.RawMessage
			if err := fetchState(args[0], &seen); err != nil {
				return err
			}
			var out bytes.Buffer
			json.Indent(&out, seen, "", "  ")
			_, err := out.WriteTo(cmd.OutOrStdout())
			return err
		}),
	}
}

func backendsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "boxes ADDRESS", Short: "Show the boxes of a running dispatcher, each address with how it stands and why", Args: cobra.ExactArgs(1),
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			var seen struct {
				Boxes []struct {
					Name, Standing, Role string
					Streams              int
				}
				Addresses []dispatch.PoolState
			}
			if err := fetchState(args[0], &seen); err != nil {
				return err
			}
			out := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
			fmt.Fprintln(out, "BOX\tROLE\tSTANDING\tSTREAMS\tCONNECTIONS\tADDRESS\tSTANDS\tWHY")
			slices.SortFunc(seen.Addresses, func(a, b dispatch.PoolState) int { return strings.Compare(a.Name, b.Name) })
			for _, at := range seen.Addresses {
				for _, b := range seen.Boxes {
					if b.Name == at.Name {
						fmt.Fprintf(out, "%s\t%s\t%s\t%d\t%d, %d idle\t", b.Name, b.Role, b.Standing, b.Streams, at.Open, at.Idle)
					}
				}
				for i, a := range at.Addresses {
					if i > 0 {
						fmt.Fprint(out, "\t\t\t\t\t")
					}
					stands := "trusted"
					if a.Suspect {
						stands = "in doubt"
					}
					fmt.Fprintf(out, "%s\t%s\t%s\n", a.Address, stands, a.Reason)
				}
				if len(at.Addresses) == 0 {
					fmt.Fprintln(out, "none\t\t")
				}
			}
			return out.Flush()
		}),
	}
}
