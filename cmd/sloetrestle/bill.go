package main

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"sloetrestle/internal/budget"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/ledger"
)

// ledgerFlags are the flags that say which ledgers a command reads, and with which key.
type ledgerFlags struct {
	patterns []string // of folders
	keyFile  string
}

func (f *ledgerFlags) register(c *cobra.Command) {
	c.Flags().StringArrayVar(&f.patterns, "ledger", nil,
		"folder of a ledger; repeat it, or give a pattern such as 'runs/ledger-*', for a fleet")
	c.Flags().StringVar(&f.keyFile, "key", "", "file of the secret that seals the records, as in ledger.key")
	c.MarkFlagRequired("ledger")
}

// resolve returns the folders that match the patterns, and the key.
func (f *ledgerFlags) resolve() (folders []string, key ledger.Key, err error) {
	if key, err = dispatch.ReadLedgerKey(f.keyFile); err != nil {
		return nil, key, fmt.Errorf("--key: %w", err)
	}
	for _, pattern := range f.patterns {
		matches, err := filepath.Glob(pattern)
		if err != nil || len(matches) == 0 {
			return nil, key, fmt.Errorf("--ledger: %s: no such folder", pattern)
		}
		for _, folder := range matches {
			if info, err := os.Stat(folder); err != nil || !info.IsDir() {
				return nil, key, fmt.Errorf("--ledger: %s is not a folder", folder)
			}
			folders = append(folders, folder)
		}
	}
	return folders, key, nil
}

// readSheet reads all records of all ledgers. Damaged records are reported to errs and skipped. A torn end is not
// reported: a crash leaves one, and the record in it was never acknowledged.
func (f *ledgerFlags) readSheet(errs io.Writer) (*ledger.Collector, error) {
	folders, key, err := f.resolve()
	if err != nil {
		return nil, err
	}
	sheet := ledger.NewCollector()
	for _, folder := range folders {
		damages, err := ledger.Read(folder, key, sheet.Add)
		if err != nil {
			return nil, err
		}
		for _, damage := range damages {
			if !damage.Torn {
				fmt.Fprintf(errs, "damaged: %s: %s\n", folder, damage)
			}
		}
	}
	for epoch, closed := range sheet.Epochs {
		if !closed {
			fmt.Fprintf(errs, "the account of %s is open: backends may still report attempts of it\n", epoch)
		}
	}
	return sheet, nil
}

// parseTime reads the value of a flag as a time, a day or a month in UTC; an empty one is fallback.
func parseTime(flag, text string, fallback time.Time) (time.Time, error) {
	if text == "" {
		return fallback, nil
	}
	for _, layout := range []string{time.RFC3339, "2006-01-02T15:04", "2006-01-02", "2006-01"} {
		if t, err := time.ParseInLocation(layout, text, time.UTC); err == nil {
			return t, nil
		}
	}
	return time.Time{}, fmt.Errorf("--%s: %q is not a time such as 2026-12-01 or 2026-12-01T08:30:00Z", flag, text)
}

func billCommand() *cobra.Command {
	var ledgers ledgerFlags
	var tenant, from, to string
	var asCSV, asJSON bool
	command := &cobra.Command{
		Use: "bill --ledger DIR --channel C --from TIME --to TIME", Args: cobra.NoArgs,
		Short: "Sum what a tenant's requests cost",
		Long: `Bill sums the records of any number of ledgers; the same records give the same bill, in whatever order. A
client is charged for the attempts that produced its answer and for those that it abandoned; the operator bears those
that broke, failed or were repeated. Times are UTC.`,
		Example: "  sloetrestle bill --ledger 'ledgers/*' --channel web-app --from 2026-12-01 --to 2027-01-01 --csv",
		RunE: markErrors(func(cmd *cobra.Command, _ []string) error {
			begin, err := parseTime("from", from, time.UnixMilli(0))
			if err != nil {
				return err
			}
			end, err := parseTime("to", to, time.Now().AddDate(10, 0, 0))
			if err != nil {
				return err
			}
			sheet, err := ledgers.readSheet(cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			return printBill(cmd.OutOrStdout(), sheet.Bill(tenant, begin, end), asCSV, asJSON)
		}),
	}
	ledgers.register(command)
	command.Flags().StringVar(&tenant, "channel", "", "tenant; all tenants if not given")
	command.Flags().StringVar(&from, "from", "", "start of the period, such as 2026-12-01")
	command.Flags().StringVar(&to, "to", "", "end of the period (exclusive)")
	command.Flags().BoolVar(&asCSV, "csv", false, "print CSV")
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	command.MarkFlagsMutuallyExclusive("csv", "json")
	command.AddCommand(disputeCommand())
	return command
}

func printBill(out io.Writer, lines []ledger.Line, asCSV, asJSON bool) error {
	header := []string{
		"channel", "grade", "cause", "questions", "trips", "read_tokens", "kept_tokens", "answer_tokens", "unproven_trips",
	}
	row := func(l ledger.Line) []string {
		return []string{
			l.Tenant, l.Class, string(l.Payer), strconv.Itoa(l.Requests), strconv.Itoa(l.Attempts),
			strconv.Itoa(l.PrefillTokens),
			strconv.Itoa(l.CachedTokens), strconv.Itoa(l.OutputTokens), strconv.Itoa(l.Unconfirmed),
		}
	}
	switch {
	case asJSON:
		return json.NewEncoder(out).Encode(lines)
	case asCSV:
		w := csv.NewWriter(out)
		w.Write(header)
		for _, line := range lines {
			w.Write(row(line))
		}
		w.Flush()
		return w.Error()
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for i, name := range header {
		if i > 0 {
			fmt.Fprint(table, "\t")
		}
		fmt.Fprint(table, name)
	}
	fmt.Fprintln(table)
	for _, line := range lines {
		for i, cell := range row(line) {
			if i > 0 {
				fmt.Fprint(table, "\t")
			}
			fmt.Fprint(table, cell)
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}

func disputeCommand() *cobra.Command {
	var ledgers ledgerFlags
	var asJSON bool
	command := &cobra.Command{
		Use: "dispute ID --ledger DIR", Args: cobra.ExactArgs(1),
		Short: "Show every attempt of one request, given by its id or key, with the proof of its cost",
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			sheet, err := ledgers.readSheet(cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			requests, attempts := sheet.Dispute(args[0])
			if len(requests)+len(attempts) == 0 {
				return fmt.Errorf("these ledgers have no request with id or key %q", args[0])
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(map[string]any{"questions": requests, "trips": attempts})
			}
			out := cmd.OutOrStdout()
			for _, r := range requests {
				request := r.Request
				fmt.Fprintf(out, "question %s (id %q) of channel %s, grade %s: %s at %s, %d prompt tokens, %d trips",
					request.Key, request.RequestID, request.Tenant, request.Class, request.Outcome,
					time.UnixMilli(r.UnixMilli).UTC().Format(time.RFC3339), request.PromptTokens, request.Attempts)
				if request.Reason != "" {
					fmt.Fprintf(out, " (%s)", request.Reason)
				}
				fmt.Fprintln(out)
			}
			table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			fmt.Fprintln(table, "question\ttrip\tbox\tstage\tend\tborne by\tread\tkept\tanswer\tproof")
			for _, a := range attempts {
				proof := fmt.Sprintf("count %d of the box for %s", a.Number, a.Epoch)
				if !a.Confirmed() {
					proof = "none: the box could not be asked; as the dispatcher saw it"
				}
				fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n",
					a.Key, a.Attempt.Index, a.Backend, a.Phase, a.Outcome, a.Payer, a.PrefillTokens, a.CachedTokens, a.OutputTokens,
					proof)
			}
			return table.Flush()
		}),
	}
	ledgers.register(command)
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return command
}

func ledgerCommand() *cobra.Command {
	command := &cobra.Command{Use: "ledger", Short: "Verify, compact or dump ledgers"}
	var verifyFlags, dumpFlags, compactFlags ledgerFlags
	verify := &cobra.Command{
		Use: "verify --ledger DIR", Short: "Check every record's seal and position", Args: cobra.NoArgs,
		RunE: markErrors(func(cmd *cobra.Command, _ []string) error {
			folders, key, err := verifyFlags.resolve()
			if err != nil {
				return err
			}
			damaged := false
			for _, folder := range folders {
				records := 0
				damages, err := ledger.Read(folder, key, func(ledger.Record) error { records++; return nil })
				if err != nil {
					return err
				}
				for _, damage := range damages {
					what := "damaged"
					if damage.Torn {
						what = "torn end, of a record that was never acknowledged"
					}
					damaged = damaged || !damage.Torn
					fmt.Fprintf(cmd.OutOrStdout(), "%s: %s: %s\n", folder, what, damage)
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %d records are whole\n", folder, records)
			}
			if damaged {
				return errViolation
			}
			return nil
		}),
	}
	verifyFlags.register(verify)
	compact := &cobra.Command{
		Use: "compact --ledger DIR", Short: "Compact closed segments into the store now", Args: cobra.NoArgs,
		RunE: markErrors(func(cmd *cobra.Command, _ []string) error {
			folders, key, err := compactFlags.resolve()
			if err != nil {
				return err
			}
			for _, folder := range folders {
				last, err := ledger.LastSegment(folder)
				if err != nil {
					return err
				}
				segments, records, err := ledger.Compact(folder, key, last, nil)
				if err != nil {
					return fmt.Errorf("%s: %w", folder, err)
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %d segments with %d records folded in\n", folder, segments, records)
			}
			return nil
		}),
	}
	compactFlags.register(compact)
	dump := &cobra.Command{
		Use: "dump --ledger DIR", Short: "Print every record as a line of JSON", Args: cobra.NoArgs,
		RunE: markErrors(func(cmd *cobra.Command, _ []string) error {
			folders, key, err := dumpFlags.resolve()
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(cmd.OutOrStdout())
			for _, folder := range folders {
				damages, err := ledger.Read(folder, key, func(r ledger.Record) error { return encoder.Encode(r) })
				if err != nil {
					return err
				}
				for _, damage := range damages {
					fmt.Fprintf(cmd.ErrOrStderr(), "%s: %s\n", folder, damage)
				}
			}
			return nil
		}),
	}
	dumpFlags.register(dump)
	command.AddCommand(verify, compact, dump)
	return command
}

// postChange sends a change as JSON to path at a dispatcher's operator address.
func postChange(address, path string, change any) error {
	client, err := newClient(address)
	if err != nil {
		return err
	}
	defer client.CloseIdleConnections()
	raw, err := json.Marshal(change)
	if err != nil {
		return err
	}
	resp, err := client.Post("http://dispatcher"+path, "application/json", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		var reply struct{ Error string }
		json.NewDecoder(io.LimitReader(resp.Body, 64<<10)).Decode(&reply)
		// An address that serves clients only answers that it does not know the path or the method.
		if resp.StatusCode == http.StatusMethodNotAllowed || resp.StatusCode == http.StatusNotFound && reply.Error == "" {
			return errors.New("this is not an operator address of a dispatcher (dispatcher.operators)")
		}
		return fmt.Errorf("%s: %s", resp.Status, reply.Error)
	}
	return nil
}

func budgetCommand() *cobra.Command {
	command := &cobra.Command{Use: "budget", Short: "Show or change token budgets, at an operator address of a dispatcher"}
	show := &cobra.Command{
		Use: "show ADDRESS", Args: cobra.ExactArgs(1),
		Short: "Show the token budgets that a dispatcher owns, and its leases of budgets",
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			var state struct{ Budgets dispatch.BudgetState }
			if err := fetchState(args[0], &state); err != nil {
				return err
			}
			table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(table, "kept here\tmonthly\tgranted\tborrow\tdebt\tlent\tleft\ttokens a second\tin the bucket\tholders")
			for _, owned := range state.Budgets.Owned {
				fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%d\n",
					owned.Name, owned.Monthly, owned.Granted, owned.Borrow, owned.Debt,
					owned.Lent, owned.Remaining, owned.PerSecond, owned.Bucket, owned.Holders)
			}
			fmt.Fprintln(table, "\npurse\tfree\treserved\tused\tpassed\tdeclined\twaited\tin emergency\tkeeper silent")
			for _, leased := range state.Budgets.Budgets {
				fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%.0f\t%d\t%d\t%d\t%.0f\t%v\n", leased.Name, leased.Free, leased.Reserved,
					leased.Used, leased.Admitted, leased.Rejected, leased.Waited, leased.EmergencyUsed, leased.OwnerSilent)
			}
			return table.Flush()
		}),
	}
	grant := &cobra.Command{
		Use: "grant ADDRESS NAME TOKENS", Args: cobra.ExactArgs(3),
		Short:   "Add tokens to a budget for the current month, at the dispatcher that owns it",
		Example: "  sloetrestle budget grant unix:/run/d0-ops.sock web-app 50000",
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			tokens, err := strconv.ParseFloat(args[2], 64)
			if err != nil || !(tokens > 0) {
				return fmt.Errorf("TOKENS: %q is not a number above 0", args[2])
			}
			return postChange(args[0], "/budget", dispatch.BudgetChange{Name: args[1], Grant: tokens})
		}),
	}
	terms := budget.Terms{}
	set := &cobra.Command{
		Use: "set ADDRESS NAME", Args: cobra.ExactArgs(2),
		Short: "Change a budget's limits at run time, at the dispatcher that owns it",
		Long: `Set replaces all four values; -1 means no limit. The change is written to the ledger and takes precedence over
the configuration file from then on.`,
		Example: "  sloetrestle budget set 127.0.0.1:8190 web-app --monthly 2000000 --tokens-a-second -1",
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			return postChange(args[0], "/budget", dispatch.BudgetChange{Name: args[1], Set: &terms})
		}),
	}
	set.Flags().Float64Var(&terms.PerSecond, "tokens-a-second", -1, "over all dispatchers; -1: no limit")
	set.Flags().Float64Var(&terms.Burst, "burst", 0, "tokens")
	set.Flags().Float64Var(&terms.Monthly, "monthly", -1, "tokens per month; -1: no limit")
	set.Flags().Float64Var(&terms.Borrow, "borrow", 0, "most tokens that may be borrowed from the next month")
	command.AddCommand(show, grant, set)
	return command
}
