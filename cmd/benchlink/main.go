// Benchlink connects the scheduler to the simulator: it reads batches of events from standard input and writes the
// scheduler's actions to standard output. It holds the dispatcher instances by number and decides nothing itself.
// Start with serve.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"sloetrestle/internal/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// serve answers each batch with one reply until the input ends.
func serve(input io.Reader, output io.Writer) error {
	batches := wire.NewReader(input)
	instances := map[uint16]*instance{}
	reply := &wire.Reply{}
	for {
		batch, err := batches.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, e := range batch.Events {
			switch e.Code() {
			case wire.EventStart:
				instances[e.Instance()] = newInstance(e, batch.Clock, reply)
			case wire.EventStop:
				delete(instances, e.Instance())
			default:
				if in := instances[e.Instance()]; in != nil {
					in.handle(e, batch.Clock)
				}
			}
		}
		if _, err := reply.WriteTo(output); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}
