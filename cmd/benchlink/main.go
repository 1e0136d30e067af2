// Benchlink lets the simulator drive the decision module: frames on standard input, replies on standard
// output.
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

func serve(in io.Reader, out io.Writer) error {
	batches := wire.NewReader(in)
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
			case wire.Start:
				instances[e.Who()] = start(e, batch.Clock, reply)
			case wire.Halt:
				delete(instances, e.Who())
			default:
				if in := instances[e.Who()]; in != nil {
					in.take(e, batch.Clock)
				}
			}
		}
		if _, err := reply.WriteTo(out); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}
