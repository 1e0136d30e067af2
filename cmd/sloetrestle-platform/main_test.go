package main

import (
	"context"
	"os"
	"testing"
	"time"

	"sloetrestle/internal/overload"
)

// runMainVariable is the environment variable that has the test binary run main in place of the tests.
const runMainVariable = "SLOETRESTLE_TEST_AS_PROGRAM"

// Of each play: the dispatcher's memory limit and the length.
const (
	limitMB    = 40
	playLength = 3 * time.Second
)

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Guards against a dispatcher that goes over its memory limit, and is killed for it, under a third of its descriptors of
// clients that send heads of long or of very many fields, half bodies or hundreds of requests at once, or write or read
// slowly. Usual clients go on.
func TestMisbehavingClientsDoNotExhaustMemory(t *testing.T) {
	for name, behavior := range overload.Behaviors {
		t.Run(name, func(t *testing.T) {
			result, err := overload.Run(context.Background(), overload.Options{
				Command: os.Args[:1], Env: []string{runMainVariable + "=1"}, MemoryMB: limitMB, Sockets: 1024,
				Behavior: behavior, Clients: 320, Usual: 20, Length: playLength,
			})
			if err != nil {
				t.Fatal(err)
			}
			if result.Exited || result.PeakKB > limitMB<<10 {
				t.Errorf("the limit of %d KB was exceeded, or the process ended: %v", limitMB<<10, result)
			}
			if result.Usual.Served == 0 || result.Usual.Unanswered+result.Usual.Failed > 0 {
				t.Errorf("usual clients: %v, %v", result, result.Errors)
			}
			t.Log(result)
		})
	}
}

// Guards against a single client that floods the dispatcher with small, unsound or ever new requests: usual clients get
// all their answers, within their latency target, and memory does not grow.
func TestFloodsOfOneClientDoNotDelayOthers(t *testing.T) {
	const latencyTarget = 1500 * time.Millisecond // of the class that usual clients ask for
	for name, behavior := range overload.Floods {
		t.Run(name, func(t *testing.T) {
			result, err := overload.Run(context.Background(), overload.Options{
				Command: os.Args[:1], Env: []string{runMainVariable + "=1"}, MemoryMB: limitMB, Sockets: 1024,
				Behavior: behavior, Clients: 1, Usual: 20, Length: playLength,
			})
			if err != nil {
				t.Fatal(err)
			}
			if result.Exited || result.PeakKB > limitMB<<10 {
				t.Errorf("the limit of %d KB was exceeded, or the process ended: %v", limitMB<<10, result)
			}
			usual := result.Usual
			if usual.Served == 0 || usual.Rejected+usual.Failed+usual.Unanswered > 0 || usual.Slowest > latencyTarget {
				t.Errorf("usual clients: %v, %v", result, result.Errors)
			}
			t.Log(result)
		})
	}
}
