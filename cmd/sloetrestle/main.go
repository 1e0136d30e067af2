// Sloetrestle routes LLM requests to backends that run prefill and decode separately. This command runs a dispatcher,
// plays scenarios against real dispatcher processes, and prints their state, bills and measurements; the work itself
// is in the packages under internal. Begin with rootCommand.
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
	exitFailed = 1 // a rule was violated, a check failed, or the command's work failed
	exitUsage  = 2 // wrong arguments or flags
)

// errViolation ends the program with exitFailed and prints nothing: the command has printed the violation or the
// failed check.
var errViolation = errors.New("a rule was violated or a check failed")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run executes the command line and returns the exit code.
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

// commandError is an error of a command's work, as opposed to one of its arguments or flags.
type commandError struct{ err error }

func (e *commandError) Error() string { return e.err.Error() }
func (e *commandError) Unwrap() error { return e.err }

// markErrors wraps the errors of a command's work in commandError, so that they are told from errors of usage.
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
	command := &cobra.Command{
		Use:   "sloetrestle",
		Short: "Route LLM requests to backends that run prefill and decode separately",
		Long: `Sloetrestle routes LLM requests to backends that run prefill and decode on separate engines. Clients and
backends speak KServe v2. "serve" runs one dispatcher; "demo" plays a scenario with faults against test backends
on loopback, with nothing to set up, and checks it by the traffic on the sockets.

Exit codes: 0 success; 1 a rule was violated or something failed; 2 wrong usage.`,
		SilenceUsage: true, SilenceErrors: true,
	}
	command.AddCommand(serveCommand(), platformCommand(), soakCommand(), soakDispatcherCommand(), overloadCommand(),
		demoCommand(),
		scenarioCommand(), checkCommand(), stateCommand(), backendsCommand(), measureCommand(), experimentCommand(),
		loadCommand(), emulateCommand(), billCommand(), budgetCommand(), ledgerCommand(), versionCommand())
	return command
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "sloetrestle", dispatch.Version)
		},
	}
}

func serveCommand() *cobra.Command {
	var file, format, level string
	command := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run one dispatcher until it is stopped",
		Long: `Serve runs one dispatcher. On SIGTERM or SIGINT it rejects new requests, lets those in progress finish
(dispatcher.stop_time at most) and exits with 0. The log goes to standard error.`,
		Example: "  sloetrestle serve --config dispatcher.toml --log json",
		Args:    cobra.NoArgs,
	}
	command.Flags().StringVarP(&file, "config", "c", "", "the dispatcher's TOML file")
	command.Flags().StringVar(&format, "log", "text", "format of the log: text or json")
	command.Flags().StringVar(&level, "level", "info",
		"lowest level to log: debug (a line for the end of each request), info, warn, error")
	command.MarkFlagRequired("config")
	command.RunE = func(cmd *cobra.Command, _ []string) error {
		log, err := newLogger(cmd.ErrOrStderr(), format, level)
		if err != nil {
			return err
		}
		return markErrors(func(cmd *cobra.Command, _ []string) error {
			config, err := setup.Load(file)
			if err != nil {
				return err
			}
			return dispatch.Serve(cmd.Context(), config, log, nil)
		})(cmd, nil)
	}
	return command
}

// newLogger returns a logger to out; format is text or json. Its errors name the flag that is wrong.
func newLogger(out io.Writer, format, level string) (*slog.Logger, error) {
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("--level: %w", err)
	}
	options := &slog.HandlerOptions{Level: minLevel}
	switch format {
	case "text":
		return slog.New(slog.NewTextHandler(out, options)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(out, options)), nil
	}
	return nil, fmt.Errorf("--log: %q is neither text nor json", format)
}
