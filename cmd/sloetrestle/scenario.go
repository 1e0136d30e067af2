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
	"sloetrestle/internal/checker"
	"sloetrestle/internal/connpool"
	"sloetrestle/internal/day"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
)

func scenarioCommand() *cobra.Command {
	c := &cobra.Command{Use: "day", Short: "Play and check scripted scenarios"}
	c.AddCommand(playCommand(), judgeCommand(), faultKindsCommand(), importCommand())
	return c
}

// printVerdict prints a verdict and returns errViolation where a rule was violated.
func printVerdict(out io.Writer, verdict checker.Verdict, asJSON bool) error {
	if asJSON {
		raw, err := json.MarshalIndent(verdict, "", "  ")
		if err != nil {
			return err
		}
		fmt.Fprintln(out, string(raw))
	} else {
		fmt.Fprint(out, verdict.Text())
	}
	if !verdict.Passed() {
		return errViolation
	}
	return nil
}

// playScenario plays a scenario against dispatcher processes of this program and prints the verdict. It keeps the
// record in the folder recordDir unless that is empty.
func playScenario(cmd *cobra.Command, scenario day.Scenario, recordDir string, asJSON, quiet bool) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	options := day.RunOptions{ServeCommand: []string{self, "serve", "--level", "warn", "--config"}, RecordDir: recordDir}
	if !quiet {
		options.Progress = cmd.ErrOrStderr()
	}
	verdict, err := day.Run(cmd.Context(), scenario, options)
	if err != nil {
		return err
	}
	return printVerdict(cmd.OutOrStdout(), verdict, asJSON)
}

func playCommand() *cobra.Command {
	var recordDir string
	var asJSON, quiet bool
	command := &cobra.Command{
		Use: "play FILE", Short: "Play a scenario against real dispatchers, and check it", Args: cobra.ExactArgs(1),
		Long: `Play starts the scenario's dispatchers as processes, with test backends, service discovery and clients on
loopback; plays the script; prints progress while it runs, then a table and each rule, kept or broken.`,
		Example: "  sloetrestle day play examples/slow.toml --record /tmp/slow",
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			scenario, err := day.Load(args[0])
			if err != nil {
				return err
			}
			return playScenario(cmd, scenario, recordDir, asJSON, quiet)
		}),
	}
	command.Flags().StringVar(&recordDir, "record", "", "folder to keep the record and the dispatchers' files in")
	command.Flags().BoolVar(&asJSON, "json", false, "print the verdict as JSON")
	command.Flags().BoolVar(&quiet, "quiet", false, "print no progress")
	return command
}

func demoCommand() *cobra.Command {
	var asJSON, quiet bool
	command := &cobra.Command{
		Use: "demo", Short: "Play a built-in scenario with faults, of about 20 s", Args: cobra.NoArgs,
		Long: "Demo plays examples/demo.toml, which is built in: nothing has to be set up. It uses test backends.",
		RunE: markErrors(func(cmd *cobra.Command, _ []string) error {
			scenario, err := day.Parse("demo.toml", examples.Demo)
			if err != nil {
				return err
			}
			return playScenario(cmd, scenario, "", asJSON, quiet)
		}),
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print the verdict as JSON")
	command.Flags().BoolVar(&quiet, "quiet", false, "print no progress")
	return command
}

func judgeCommand() *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use: "judge DIR", Short: "Check a kept record again", Args: cobra.ExactArgs(1),
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			head, lines, err := record.Read(args[0])
			if err != nil {
				return err
			}
			verdict := checker.Check(head, lines)
			if err := day.CheckLedgers(&verdict, args[0], lines); err != nil {
				return err
			}
			return printVerdict(cmd.OutOrStdout(), verdict, asJSON)
		}),
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print the verdict as JSON")
	return command
}

func faultKindsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "kinds", Short: "List the kinds of fault", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			for _, kind := range day.FaultKinds {
				fmt.Fprintf(cmd.OutOrStdout(), "%-17s %s", kind.Name, kind.Description)
				if len(kind.RequiredKeys) > 0 {
					fmt.Fprintf(cmd.OutOrStdout(), " (needs %v)", kind.RequiredKeys)
				}
				fmt.Fprintln(cmd.OutOrStdout())
			}
		},
	}
}

func importCommand() *cobra.Command {
	var output string
	var scale day.Scale
	command := &cobra.Command{
		Use: "import DAY.json -o FILE.toml", Args: cobra.ExactArgs(1),
		Short: "Turn a scenario drawn by the bench into a script",
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			scenario, dropped, err := day.Import(args[0], raw, scale)
			if err != nil {
				return err
			}
			for _, item := range dropped {
				fmt.Fprintln(cmd.ErrOrStderr(), "not carried over:", item)
			}
			var script bytes.Buffer
			if err := toml.NewEncoder(&script).SetIndentTables(false).Encode(scenario); err != nil {
				return err
			}
			if output == "" {
				_, err = cmd.OutOrStdout().Write(script.Bytes())
				return err
			}
			return os.WriteFile(output, script.Bytes(), 0o644)
		}),
	}
	command.Flags().StringVarP(&output, "output", "o", "", "file to write; without it the script is printed")
	command.Flags().Float64Var(&scale.Duration, "time", 1,
		"factor on the scenario's length and on the times of its faults")
	command.Flags().Float64Var(&scale.Rate, "rate", 1, "factor on the requests per second")
	return command
}

// checkCommand checks dispatcher configurations and scenarios, which it tells apart by their tables.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE...", Short: "Check dispatcher configurations and scenarios", Args: cobra.MinimumNArgs(1),
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			invalid := 0
			for _, file := range args {
				if err := checkFile(file); err != nil {
					invalid++
					fmt.Fprintln(cmd.ErrOrStderr(), err)
					continue
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: fine\n", file)
			}
			if invalid > 0 {
				return errViolation
			}
			return nil
		}),
	}
}

// checkFile checks one file: a scenario if it has a table "day", else a dispatcher configuration.
func checkFile(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var tables map[string]any
	if toml.Unmarshal(raw, &tables) == nil {
		if _, isScenario := tables["day"]; isScenario {
			_, err := day.Parse(file, raw)
			return err
		}
	}
	_, err = setup.Load(file)
	return err
}

// fetchState decodes the state of the dispatcher at address into into.
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
		return fmt.Errorf("decode the state of the dispatcher at %s: %w", address, err)
	}
	return nil
}

// newClient returns an HTTP client that connects to one dispatcher's address, such as 127.0.0.1:8100 or
// unix:/run/d0.sock, whatever the host in the URL.
func newClient(address string) (*http.Client, error) {
	spec, err := connpool.ParseListen(address)
	if err != nil {
		return nil, err
	}
	return &http.Client{
		Timeout: 10 * time.Second,
		Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, spec.Network, spec.Addr)
		}},
	}, nil
}

func stateCommand() *cobra.Command {
	return &cobra.Command{
		Use: "state ADDRESS", Short: "Print the state of a running dispatcher as JSON", Args: cobra.ExactArgs(1),
		Example: "  sloetrestle state 127.0.0.1:8100\n  sloetrestle state unix:/run/d0.sock",
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			var state json.RawMessage
			if err := fetchState(args[0], &state); err != nil {
				return err
			}
			var out bytes.Buffer
			json.Indent(&out, state, "", "  ")
			_, err := out.WriteTo(cmd.OutOrStdout())
			return err
		}),
	}
}

func backendsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "boxes ADDRESS", Args: cobra.ExactArgs(1),
		Short: "Show the backends of a running dispatcher, with the health of each address and the reason",
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			var state struct {
				Backends []struct {
					Name    string
					State   string `json:"standing"`
					Role    string
					Streams int
				} `json:"boxes"`
				Pools []dispatch.PoolState `json:"addresses"`
			}
			if err := fetchState(args[0], &state); err != nil {
				return err
			}
			table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
			fmt.Fprintln(table, "BOX\tROLE\tSTANDING\tSTREAMS\tCONNECTIONS\tADDRESS\tSTANDS\tWHY")
			slices.SortFunc(state.Pools, func(a, b dispatch.PoolState) int { return strings.Compare(a.Name, b.Name) })
			for _, pool := range state.Pools {
				for _, b := range state.Backends {
					if b.Name == pool.Name {
						fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d, %d idle\t", b.Name, b.Role, b.State, b.Streams, pool.Open, pool.Idle)
					}
				}
				for i, address := range pool.Addresses {
					if i > 0 {
						fmt.Fprint(table, "\t\t\t\t\t")
					}
					health := "trusted"
					if address.Suspect {
						health = "in doubt"
					}
					fmt.Fprintf(table, "%s\t%s\t%s\n", address.Address, health, address.Reason)
				}
				if len(pool.Addresses) == 0 {
					fmt.Fprintln(table, "none\t\t")
				}
			}
			return table.Flush()
		}),
	}
}
