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

// folders are the flags by which a command is told which ledgers to read.
type ledgerFlags struct {
	patterns []string
	keyFile  string
}

func (f *ledgerFlags) register(c *cobra.Command) {
	c.Flags().StringArrayVar(&f.patterns, "ledger", nil, "folder of a ledger; several, or a pattern such as 'runs/ledger-*', for a fleet")
	c.Flags().StringVar(&f.keyFile, "key", "", "file of the secret that seals the records, as in ledger.key")
	c.MarkFlagRequired("ledger")
}

func (f *ledgerFlags) resolve() (list []string, key ledger.Key, err error) {
	if key, err = dispatch.ReadLedgerKey(f.keyFile); err != nil {
		return nil, key, fmt.Errorf("--key: %w", err)
	}
	for _, pattern := range f.patterns {
		found, err := filepath.Glob(pattern)
		if err != nil || len(found) == 0 {
			return nil, key, fmt.Errorf("--ledger: %s: no such folder", pattern)
		}
		for _, folder := range found {
			if info, err := os.Stat(folder); err != nil || !info.IsDir() {
				return nil, key, fmt.Errorf("--ledger: %s is no folder", folder)
			}
			list = append(list, folder)
		}
	}
	return list, key, nil
}

// sheet reads them all. Damage is told, and what can be read is read.
func (f *ledgerFlags) readSheet(errs io.Writer) (*ledger.Collector, error) {
	list, key, err := f.resolve()
	if err != nil {
		return nil, err
	}
	s := ledger.NewCollector()
	for _, folder := range list {
		damage, err := ledger.Read(folder, key, s.Add)
		if err != nil {
			return nil, err
		}
		for _, d := range damage {
			if !d.Torn {
				fmt.Fprintf(errs, "damaged: %s: %s\n", folder, d)
			}
		}
	}
	for name, closed := range s.Epochs {
		if !closed {
			fmt.Fprintf(errs, "the account of %s is open: trips of it may still come from the boxes\n", name)
		}
	}
	return s, nil
}

// moment reads a time of day or a day.
func parseTime(flag, text string, otherwise time.Time) (time.Time, error) {
	if text == "" {
		return otherwise, nil
	}
	for _, form := range []string{time.RFC3339, "2006-01-02T15:04", "2006-01-02", "2006-01"} {
		if t, err := time.ParseInLocation(form, text, time.UTC); err == nil {
			return t, nil
		}
	}
	return time.Time{}, fmt.Errorf("--%s: %q is no time such as 2026-12-01 or 2026-12-01T08:30:00Z", flag, text)
}

func billCommand() *cobra.Command {
	var f ledgerFlags
	var channel, from, to string
	var asCSV, asJSON bool
	c := &cobra.Command{
		Use: "bill --ledger DIR --channel C --from TIME --to TIME", Short: "Sum what a channel's questions cost", Args: cobra.NoArgs,
		Long: `Bill sums records of any number of ledgers: the same ones give the same bill, in whatever order. A client bears the trips
that made its answer, and those that it left; the house bears those that broke, failed or were repeated. Times are UTC.`,
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
			s, err := f.readSheet(cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			return printBill(cmd.OutOrStdout(), s.Bill(channel, begin, end), asCSV, asJSON)
		}),
	}
	f.register(c)
	c.Flags().StringVar(&channel, "channel", "", "channel; all where it is left out")
	c.Flags().StringVar(&from, "from", "", "first moment, such as 2026-12-01")
	c.Flags().StringVar(&to, "to", "", "moment after the last")
	c.Flags().BoolVar(&asCSV, "csv", false, "print CSV")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	c.MarkFlagsMutuallyExclusive("csv", "json")
	c.AddCommand(disputeCommand())
	return c
}

func printBill(out io.Writer, lines []ledger.Line, asCSV, asJSON bool) error {
	head := []string{"channel", "grade", "cause", "questions", "trips", "read_tokens", "kept_tokens", "answer_tokens", "unproven_trips"}
	row := func(l ledger.Line) []string {
		return []string{l.Tenant, l.Class, string(l.Payer), strconv.Itoa(l.Requests), strconv.Itoa(l.Attempts), strconv.Itoa(l.PrefillTokens), strconv.Itoa(l.CachedTokens),
			strconv.Itoa(l.OutputTokens), strconv.Itoa(l.Unconfirmed)}
	}
	switch {
	case asJSON:
		return json.NewEncoder(out).Encode(lines)
	case asCSV:
		w := csv.NewWriter(out)
		w.Write(head)
		for _, l := range lines {
			w.Write(row(l))
		}
		w.Flush()
		return w.Error()
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for i, name := range head {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, name)
	}
	fmt.Fprintln(w)
	for _, l := range lines {
		for i, cell := range row(l) {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

func disputeCommand() *cobra.Command {
	var f ledgerFlags
	var asJSON bool
	c := &cobra.Command{
		Use: "dispute ID --ledger DIR", Short: "Show every trip of one question, by its id or key, with its proof", Args: cobra.ExactArgs(1),
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			s, err := f.readSheet(cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			questions, proofs := s.Dispute(args[0])
			if len(questions)+len(proofs) == 0 {
				return fmt.Errorf("no question %q is in these ledgers", args[0])
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(map[string]any{"questions": questions, "trips": proofs})
			}
			out := cmd.OutOrStdout()
			for _, r := range questions {
				q := r.Request
				fmt.Fprintf(out, "question %s (id %q) of channel %s, grade %s: %s at %s, %d prompt tokens, %d trips", q.Key, q.RequestID, q.Tenant, q.Class, q.Outcome,
					time.UnixMilli(r.UnixMilli).UTC().Format(time.RFC3339), q.PromptTokens, q.Attempts)
				if q.Reason != "" {
					fmt.Fprintf(out, " (%s)", q.Reason)
				}
				fmt.Fprintln(out)
			}
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "question\ttrip\tbox\tstage\tend\tborne by\tread\tkept\tanswer\tproof")
			for _, p := range proofs {
				proof := fmt.Sprintf("count %d of the box for %s", p.Number, p.Epoch)
				if !p.Confirmed() {
					proof = "none: the box could not be asked; as the dispatcher saw it"
				}
				fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", p.Key, p.Attempt.Index, p.Backend, p.Phase, p.Outcome, p.Payer, p.PrefillTokens, p.CachedTokens, p.OutputTokens, proof)
			}
			return w.Flush()
		}),
	}
	f.register(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

func ledgerCommand() *cobra.Command {
	c := &cobra.Command{Use: "ledger", Short: "Verify, compact or dump ledgers"}
	var v, d, k ledgerFlags
	verify := &cobra.Command{
		Use: "verify --ledger DIR", Short: "Check every record's seal and place", Args: cobra.NoArgs,
		RunE: markErrors(func(cmd *cobra.Command, _ []string) error {
			list, key, err := v.resolve()
			if err != nil {
				return err
			}
			bad := false
			for _, folder := range list {
				n := 0
				damage, err := ledger.Read(folder, key, func(ledger.Record) error { n++; return nil })
				if err != nil {
					return err
				}
				for _, d := range damage {
					word := "damaged"
					if d.Torn {
						word = "torn end, of which nobody was told that it stands"
					}
					bad = bad || !d.Torn
					fmt.Fprintf(cmd.OutOrStdout(), "%s: %s: %s\n", folder, word, d)
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %d records are whole\n", folder, n)
			}
			if bad {
				return errViolation
			}
			return nil
		}),
	}
	v.register(verify)
	compact := &cobra.Command{
		Use: "compact --ledger DIR", Short: "Fold closed segments into the store now", Args: cobra.NoArgs,
		RunE: markErrors(func(cmd *cobra.Command, _ []string) error {
			list, key, err := k.resolve()
			if err != nil {
				return err
			}
			for _, folder := range list {
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
	k.register(compact)
	dump := &cobra.Command{
		Use: "dump --ledger DIR", Short: "Print every record as a line of JSON", Args: cobra.NoArgs,
		RunE: markErrors(func(cmd *cobra.Command, _ []string) error {
			list, key, err := d.resolve()
			if err != nil {
				return err
			}
			enc := json.NewEncoder(cmd.OutOrStdout())
			for _, folder := range list {
				damage, err := ledger.Read(folder, key, func(r ledger.Record) error { return enc.Encode(r) })
				if err != nil {
					return err
				}
				for _, x := range damage {
					fmt.Fprintf(cmd.ErrOrStderr(), "%s: %s\n", folder, x)
				}
			}
			return nil
		}),
	}
	d.register(dump)
	c.AddCommand(verify, compact, dump)
	return c
}

// post sends a change to an operators' address.
func postChange(address, path string, v any) error {
	client, err := newClient(address)
	if err != nil {
		return err
	}
	defer client.CloseIdleConnections()
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	resp, err := client.Post("http://dispatcher"+path, "application/json", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		var f struct{ Error string }
		json.NewDecoder(io.LimitReader(resp.Body, 64<<10)).Decode(&f)
		if resp.StatusCode == http.StatusMethodNotAllowed || resp.StatusCode == http.StatusNotFound && f.Error == "" {
			return errors.New("this is no operators' address of a dispatcher (dispatcher.operators)")
		}
		return fmt.Errorf("%s: %s", resp.Status, f.Error)
	}
	return nil
}

func budgetCommand() *cobra.Command {
	c := &cobra.Command{Use: "budget", Short: "Show or change budgets, at an operators' address of a dispatcher"}
	show := &cobra.Command{
		Use: "show ADDRESS", Short: "Show the budgets that a dispatcher keeps, and its purses", Args: cobra.ExactArgs(1),
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			var seen struct{ Budgets dispatch.BudgetState }
			if err := fetchState(args[0], &seen); err != nil {
				return err
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "kept here\tmonthly\tgranted\tborrow\tdebt\tlent\tleft\ttokens a second\tin the bucket\tholders")
			for _, k := range seen.Budgets.Owned {
				fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%d\n", k.Name, k.Monthly, k.Granted, k.Borrow, k.Debt, k.Lent, k.Remaining, k.PerSecond, k.Bucket, k.Holders)
			}
			fmt.Fprintln(w, "\npurse\tfree\treserved\tused\tpassed\tdeclined\twaited\tin emergency\tkeeper silent")
			for _, p := range seen.Budgets.Budgets {
				fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%d\t%d\t%d\t%.0f\t%v\n", p.Name, p.Free, p.Reserved, p.Used, p.Admitted, p.Rejected, p.Waited, p.EmergencyUsed, p.OwnerSilent)
			}
			return w.Flush()
		}),
	}
	grant := &cobra.Command{
		Use: "grant ADDRESS NAME TOKENS", Short: "Add tokens to a budget's present month, at the dispatcher that keeps it", Args: cobra.ExactArgs(3),
		Example: "  sloetrestle budget grant unix:/run/d0-ops.sock web-app 50000",
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			tokens, err := strconv.ParseFloat(args[2], 64)
			if err != nil || !(tokens > 0) {
				return fmt.Errorf("TOKENS: %q is no number above 0", args[2])
			}
			return postChange(args[0], "/budget", dispatch.BudgetChange{Name: args[1], Grant: tokens})
		}),
	}
	t := budget.Terms{}
	set := &cobra.Command{
		Use: "set ADDRESS NAME", Short: "Change a budget's terms while it runs, at the dispatcher that keeps it", Args: cobra.ExactArgs(2),
		Long:    "Set changes all four figures; a limit of -1 is none. The change is written to the ledger and goes before the file from then on.",
		Example: "  sloetrestle budget set 127.0.0.1:8190 web-app --monthly 2000000 --tokens-a-second -1",
		RunE: markErrors(func(cmd *cobra.Command, args []string) error {
			return postChange(args[0], "/budget", dispatch.BudgetChange{Name: args[1], Set: &t})
		}),
	}
	set.Flags().Float64Var(&t.PerSecond, "tokens-a-second", -1, "over all dispatchers; -1: no limit")
	set.Flags().Float64Var(&t.Burst, "burst", 0, "tokens")
	set.Flags().Float64Var(&t.Monthly, "monthly", -1, "tokens a month; -1: no limit")
	set.Flags().Float64Var(&t.Borrow, "borrow", 0, "tokens of the next month's, at most")
	c.AddCommand(show, grant, set)
	return c
}
