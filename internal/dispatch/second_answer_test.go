package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/connpool"
	"sloetrestle/internal/kserve"
	"sloetrestle/scheduler"
)

// repetition is how a backend sends a part of each answer again.
type repetition struct {
	delay    time.Duration // before the repetition; negative: there is none
	part     float64       // of the answer that is repeated
	together bool          // answer and repetition are written at once
}

// repeatingBackend serves attempts whole, with their own text, and sends a part of each answer again on the same connection.
type repeatingBackend struct {
	repetition
	listener net.Listener
	names    bool         // the head of an answer names its attempt
	conns    atomic.Int64 // that were accepted
}

func startRepeatingBackend(t *testing.T, repeated repetition, names bool) *repeatingBackend {
	t.Helper()
	var err error
	backend := &repeatingBackend{repetition: repeated, names: names}
	if backend.listener, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { backend.listener.Close() })
	go func() {
		for {
			conn, err := backend.listener.Accept()
			if err != nil {
				return
			}
			backend.conns.Add(1)
			go backend.serve(conn)
		}
	}()
	return backend
}

func (b *repeatingBackend) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.Method == http.MethodGet {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"name\":\"b\"}")
			continue
		}
		_, text, err := kserve.ReadAttemptParams(request.Body)
		if err != nil {
			return
		}
		answer := b.answer(request.Header.Get(kserve.AttemptHeader), text)
		repeated := answer[:int(b.part*float64(len(answer)))]
		if b.together {
			io.WriteString(conn, answer+repeated)
			continue
		}
		io.WriteString(conn, answer)
		if b.delay >= 0 {
			time.AfterFunc(b.delay, func() { io.WriteString(conn, repeated) })
		}
	}
}

// answer returns a whole answer with the given text.
func (b *repeatingBackend) answer(attempt, text string) string {
	var events strings.Builder
	kserve.WriteEvent(&events, "", kserve.Token{Text: text})
	kserve.WriteEvent(&events, "end", kserve.AttemptResult{Outcome: kserve.OutcomeCompleted})
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	if b.names {
		head += kserve.AttemptHeader + ": " + attempt + "\r\n"
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, events.Len(), events.String())
}

// Guards against an answer that reaches another client than the one that it was made for: a backend sends it again, at
// once or later, whole or in part, and the connection carries another attempt meanwhile.
func TestSecondAnswerIsNotTakenForTheNextOne(t *testing.T) {
	const attempts = 12
	for name, repeated := range map[string]repetition{
		"none":                        {delay: -1},
		"in the same write":           {part: 1, together: true},
		"half of it, same write":      {part: 0.5, together: true},
		"at once":                     {part: 1},
		"after 1 ms":                  {part: 1, delay: time.Millisecond},
		"after 5 ms":                  {part: 1, delay: 5 * time.Millisecond},
		"half of it, after 5 ms":      {part: 0.5, delay: 5 * time.Millisecond},
		"after 50 ms":                 {part: 1, delay: 50 * time.Millisecond},
		"after 500 ms":                {part: 1, delay: 500 * time.Millisecond},
		"half of the head after 5 ms": {part: 0.1, delay: 5 * time.Millisecond},
	} {
		for _, names := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, names attempts: %v", name, names), func(t *testing.T) {
				t.Parallel()
				backend := startRepeatingBackend(t, repeated, names)
				served := 0
				transport, pool := startPooledTransport(t, backend.listener.Addr().String())
				for number := range attempts {
					text := fmt.Sprintf("text of %d", number)
					tokens, outcome := runOneAttempt(t, transport, pool, number, text)
					for _, token := range tokens {
						if !strings.Contains(token, text) {
							t.Errorf("attempt %d got %s", number, token)
						}
					}
					if outcome == scheduler.Served {
						served++
					}
					time.Sleep(max(time.Duration(number)*time.Millisecond, repeated.delay/8))
				}
				sound := repeated.delay < 0
				if (!names || sound) && served != attempts {
					t.Errorf("%d of %d attempts were served", served, attempts)
				}
				if sound && names && backend.conns.Load() > 2 {
					t.Errorf("%d connections for a sound backend", backend.conns.Load())
				}
			})
		}
	}
}

// startPooledTransport returns a transport with a pool for one backend.
func startPooledTransport(t *testing.T, address string) (*HTTPTransport, *connpool.Pool) {
	t.Helper()
	lifetime, end := context.WithCancel(context.Background())
	var group errgroup.Group
	began := time.Now()
	transport := NewHTTPTransport(lifetime, &group, 4, time.Second, func() time.Duration { return time.Since(began) })
	transport.Model, transport.StallTimeout = "lodge", time.Second
	transport.loop, _ = newTestLoop(t, "idempotent")
	t.Cleanup(func() {
		end()
		group.Wait()
	})
	return transport, transport.Pools.SetAddresses("b", []addresses.Spec{{Network: addresses.TCP4, Addr: address}}, 1)
}

// runOneAttempt runs one attempt and returns its tokens and its outcome.
func runOneAttempt(
	t *testing.T, transport *HTTPTransport, pool *connpool.Pool, number int, text string,
) (tokens []string, outcome scheduler.Outcome) {
	t.Helper()
	ctx, cancel := context.WithCancelCause(context.Background())
	attempt := &Attempt{
		Scheduled: &scheduler.Attempt{Stage: scheduler.StageWhole}, Request: &ClientRequest{}, Cancel: cancel, ctx: ctx,
		Tokens: make(chan []byte, tokenBuffer),
	}
	stop := time.AfterFunc(2*time.Second, func() { cancel(ErrAttemptTimeout) })
	defer stop.Stop()
	observed := transport.runAttempt(attempt, pool, text, kserve.AttemptParams{
		Phase: kserve.PhaseCombined, DispatcherEpoch: "d0.x", RequestNumber: uint64(number), MaxTokens: 8,
	})
	cancel(nil)
	close(attempt.Tokens)
	for token := range attempt.Tokens {
		tokens = append(tokens, string(token))
	}
	outcome, _ = observed.Outcome(scheduler.StageWhole)
	return tokens, outcome
}
