package dispatch_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sloetrestle/internal/fakes"
	"sloetrestle/internal/record"
)

// rawGenerate returns a request as it is sent on a connection.
func rawGenerate(id string) string {
	body := fmt.Sprintf(`{"id":%q,"text_input":"is the hut free","parameters":{"grade":"hut-booking"}}`, id)
	return fmt.Sprintf("POST %sgenerate HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", modelPath, len(body), body)
}

// attempts returns how many attempts the backends received.
func (s *testService) attempts() (count int) {
	for _, event := range s.events.Events() {
		if event.Kind == record.AttemptReceived {
			count++
		}
	}
	return count
}

// dialWithOpenRequest opens a client's connection and sends a request that must not run again. It returns when a backend has
// the request.
func (s *testService) dialWithOpenRequest(id string) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.baseURL, "http://"))
	if err != nil {
		s.t.Fatal(err)
	}
	io.WriteString(conn, rawGenerate(id))
	for s.attempts() == 0 {
		time.Sleep(time.Millisecond)
	}
	return conn
}

// openRequests returns how many requests are open, as operators are told.
func (s *testService) openRequests() int {
	var state struct {
		Open int `json:"open"`
	}
	resp, err := http.Get(s.baseURL + "/state")
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
		s.t.Fatal(err)
	}
	return state.Open
}

// Guards against requests that are sent on for a client that has closed its connection with further requests unread: its
// open one is given up, and the others are not begun.
func TestRequestsOfAClientThatLeftAreNotSent(t *testing.T) {
	for name, pipelined := range map[string]int{"few requests": 2, "more than is kept": 2000} {
		t.Run(name, func(t *testing.T) {
			service := startService(t, nil)
			service.prefill.UpdateFaults(func(faults *fakes.Faults) { faults.Hang = true })
			conn := service.dialWithOpenRequest("a")
			for n := range pipelined {
				if _, err := io.WriteString(conn, rawGenerate(fmt.Sprint("p", n))); err != nil {
					t.Fatal(err)
				}
			}
			conn.Close()
			left := time.Now()
			for service.openRequests() > 0 {
				if time.Since(left) > time.Second {
					t.Fatal("the request is open a second after its client has closed")
				}
				time.Sleep(time.Millisecond)
			}
			time.Sleep(300 * time.Millisecond)
			if attempts := service.attempts(); attempts != 1 {
				t.Errorf("%d attempts, want 1", attempts)
			}
		})
	}
}

// generateWithID asks for an answer with an id, a class and a text, and returns the status.
func (s *testService) generateWithID(id, class, text string) int {
	s.t.Helper()
	status, _, _ := s.post(modelPath+"generate",
		strings.NewReader(fmt.Sprintf(`{"id":%q,"text_input":%q,"parameters":{"grade":%q}}`, id, text, class)))
	return status
}

// Guards against an id that runs twice: the id of a request that must not run again comes once more after its client has
// left, while the request's attempt was out, and after it was served.
func TestIDOfAnUnrepeatableRequestIsNotRunAgain(t *testing.T) {
	service := startService(t, nil)
	service.prefill.UpdateFaults(func(faults *fakes.Faults) { faults.Hang = true })
	service.dialWithOpenRequest("a").Close()
	if status := service.generateWithID("a", "hut-booking", "is the hut free"); status != http.StatusConflict {
		t.Errorf("after its client has left: status %d, want 409", status)
	}
	service.prefill.UpdateFaults(func(faults *fakes.Faults) { faults.Hang = false })
	for service.openRequests() > 0 {
		time.Sleep(time.Millisecond)
	}
	if status := service.generateWithID("b", "hut-booking", "x"); status != http.StatusOK {
		t.Errorf("another id: status %d", status)
	}
	for _, id := range []string{"a", "b"} {
		if status := service.generateWithID(id, "hut-booking", "x"); status != http.StatusConflict {
			t.Errorf("%s again: status %d, want 409", id, status)
		}
	}
	for range 2 {
		if status := service.generateWithID("c", "trail-info", "x"); status != http.StatusOK {
			t.Errorf("an idempotent request, again: status %d", status)
		}
	}
}

// Guards against a client that gets another client's answer: it sends the id of the other one's open request.
func TestOpenIDIsRefused(t *testing.T) {
	service := startService(t, nil)
	service.prefill.UpdateFaults(func(faults *fakes.Faults) { faults.Hang = true })
	first := make(chan int)
	go func() { first <- service.generateWithID("a", "trail-info", "the first text") }()
	for service.attempts() == 0 {
		time.Sleep(time.Millisecond)
	}
	if status := service.generateWithID("a", "trail-info", "another text"); status != http.StatusConflict {
		t.Errorf("an open id: status %d, want 409", status)
	}
	service.prefill.UpdateFaults(func(faults *fakes.Faults) { faults.Hang = false })
	<-first
	if status := service.generateWithID("a", "trail-info", "the first text"); status != http.StatusOK {
		t.Errorf("once the request is answered: status %d", status)
	}
}
