// Sloetrestle routes questions to language-model servers that read prompts and write answers apart.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/setup"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1 // a rule was broken, or a check failed
	exitUsage  = 2
)

// errBroken ends the program with the code for a broken rule; what it was is told already.
var errViolation = errors.New("broken")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run is the program but for its process.
func run(ctx context.Context, args []string, out, errs io.Writer) int {
	root := rootCommand()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.ExecuteContext(ctx)
	var failed *commandError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errViolation):
		return exitFailed
	case errors.As(err, &failed):
		fmt.Fprintln(errs, "sloetrestle:", err)
		return exitFailed
	}
	fmt.Fprintln(errs, "sloetrestle:", err)
	return exitUsage
}

// failure is an error of the work itself, not of how it was asked for.
type commandError struct{ err error }

func (f *commandError) Error() string { return f.err.Error() }
func (f *commandError) Unwrap() error { return f.err }

// works marks what goes wrong in a command's work.
func markErrors(do func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		err := do(cmd, args)
		if err == nil || errors.Is(err, errViolation) {
			return err
		}
		return &commandError{err}
	}
}

func rootCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "sloetrestle",
		Short: "Route language-model questions to servers that read and write apart",
		Long: `Sloetrestle routes questions to language-model servers that read prompts and write answers on separate
engines. Clients and boxes speak KServe v2. "serve" runs one dispatcher; "demo" plays a bad day against
stand-ins on loopback, with nothing to set up, and judges it by what the sockets carried.

Exit codes: 0 fine; 1 a rule was broken or something failed; 2 wrong use.`,
		SilenceUsage: true, SilenceErrors: true,
	}
	c.AddCommand(serveCommand(), platformCommand(), soakCommand(), soakDispatcherCommand(), demoCommand(), scenarioCommand(), checkCommand(), stateCommand(), backendsCommand(), measureCommand(), experimentCommand(), loadCommand(), emulateCommand(), billCommand(), budgetCommand(), ledgerCommand(), versionCommand())
	return c
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs, Run: func(cmd *cobra.Command, _ []string) {
		fmt.Fprintln(cmd.OutOrStdout(), "sloetrestle", dispatch.Version)
	}}
}

func serveCommand() *cobra.Command {
	var file, form, level string
	c := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run one dispatcher until it is told to stop",
		Long: `Serve runs one dispatcher. On SIGTERM or SIGINT it declines new questions, lets those it holds end
(dispatcher.stop_time at most) and exits with 0. The log goes to standard error.`,
		Example: "  sloetrestle serve --config dispatcher.toml --log json",
		Args:    cobra.NoArgs,
	}
	c.Flags().StringVarP(&file, "config", "c", "", "the dispatcher's TOML file")
	c.Flags().StringVar(&form, "log", "text", "form of the log: text or json")
	c.Flags().StringVar(&level, "level", "info", "least level of the log: debug (a line for each question's end), info, warn, error")
	c.MarkFlagRequired("config")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		log, err := newLogger(cmd.ErrOrStderr(), form, level)
		if err != nil {
			return err
		}
		return markErrors(func(cmd *cobra.Command, _ []string) error {
			d, err := setup.Load(file)
			if err != nil {
				return err
			}
			return dispatch.Serve(cmd.Context(), d, log, nil)
		})(cmd, nil)
	}
	return c
}

func newLogger(to io.Writer, form, level string) (*slog.Logger, error) {
	var least slog.Level
	if err := least.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("--level: %w", err)
	}
	options := &slog.HandlerOptions{Level: least}
	switch form {
	case "text":
		return slog.New(slog.NewTextHandler(to, options)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(to, options)), nil
	}
	return nil, fmt.Errorf("--log: %q is neither text nor json", form)
}
