// Package record defines the event log of a run: what clients, backends, service discovery and the process manager
// observed at the far ends of the sockets, one event a line, on one clock. It checks no rules and contains nothing
// that a dispatcher says about itself. Begin with Event.
package record

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"sloetrestle/internal/setup"
)

// Kinds of event.
const (
	RequestSent      = "asked"   // a client sent a try of a request
	FirstToken       = "first"   // the client received the first token
	FinalAnswer      = "final"   // the client received a final answer; Detail is the outcome
	AfterFinal       = "extra"   // the client received something after the final answer
	ClientLeft       = "quit"    // the client left before any answer
	ConnectionLost   = "cut"     // the client's connection broke, or could not be made, without a final answer
	AttemptReceived  = "trip"    // a backend received an attempt
	EffectStarted    = "ran"     // the attempt began to have its effect at the backend
	DuplicateDropped = "repeat"  // the backend recognised a repeat, which had no effect
	AttemptEnded     = "end"     // the backend finished the attempt; Detail says how
	AttemptClosed    = "closed"  // the dispatcher closed the attempt's connection
	KVCacheHeld      = "held"    // a request's KV cache waits at the backend for decode
	KVCacheReleased  = "let"     // it waits no more; Detail is the reason: taken, released, expired, lost
	ProcessStarted   = "up"      // a backend or dispatcher started
	ProcessEnded     = "down"    // it was killed or stopped; Detail says how
	Overloaded       = "fell"    // a backend was overloaded during slow start
	EndpointNotified = "told"    // service discovery notified a dispatcher of a backend; Detail is the backend's state
	UsageCounted     = "counted" // a backend counted the tokens of an attempt
	Note             = "note"    // a fault began or ended
)

// Event is one observation. Times are in microseconds on the recorder's clock.
type Event struct {
	TimeUs          int64   `json:"at"` // since the start of the run
	Kind            string  `json:"what"`
	Backend         string  `json:"box,omitempty"`
	Address         string  `json:"address,omitempty"` // the backend's address that received the attempt
	Dispatcher      string  `json:"dispatcher,omitempty"`
	Try             string  `json:"try,omitempty"` // the client's id of one try, sent as the id of the request
	Request         string  `json:"question,omitempty"`
	Class           string  `json:"grade,omitempty"`
	Detail          string  `json:"word,omitempty"`
	Phase           string  `json:"stage,omitempty"`
	Attempt         int     `json:"trip,omitempty"`
	RequestKey      string  `json:"key,omitempty"` // the request at a backend: dispatcher, its start, the request's number
	StartID         uint64  `json:"start,omitempty"`
	Work            float64 `json:"work,omitempty"`       // seconds of the backend's full capacity
	DeadlineUs      int64   `json:"expiry_us,omitempty"`  // after RequestSent, by when the client wants an answer
	LatencyTargetUs int64   `json:"promise_us,omitempty"` // after RequestSent
	Tokens          int     `json:"tokens,omitempty"`
	CachedTokens    int     `json:"kept,omitempty"`   // of UsageCounted, whose Tokens are those prefilled
	AnswerTokens    int     `json:"answer,omitempty"` // of UsageCounted
	Attempts        int     `json:"trips,omitempty"`
	RetryAfterMs    int64   `json:"after_ms,omitempty"`
	ElapsedUs       int64   `json:"took_us,omitempty"`
	SlowStart       bool    `json:"cold,omitempty"`
	ArrivedUs       int64   `json:"arrived,omitempty"` // when the attempt reached the backend's machine, if read later
	ClosedUs        int64   `json:"gone,omitempty"`    // when the dispatcher closed the connection, if before that read
}

// Header is what a checker needs beside the events.
type Header struct {
	Scenario string           `json:"day"`
	Seed     uint64           `json:"seed"`
	Terms    setup.Deployment `json:"terms"`
	Backends []Backend        `json:"boxes"`
}

// Backend is the kind, role and location of a backend.
type Backend struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	Role string `json:"role"`
	Zone string `json:"zone"`
	Rack string `json:"rack"`
}

// Recorder appends events. The zero Recorder keeps them in memory only. It is safe for concurrent use.
type Recorder struct {
	startTime time.Time
	mu        sync.Mutex
	events    []Event
	file      *os.File
	writer    *bufio.Writer
	err       error
	OnEvent   func(Event) // called with each event while the recorder is locked

	DiscardEvents bool // events go to OnEvent and the file only
}

const (
	headerFile = "head.json"
	eventsFile = "record.jsonl"
)

// Open starts a recorder that writes to the folder dir. If dir is empty, events stay in memory.
func Open(dir string, header Header) (*Recorder, error) {
	r := &Recorder{startTime: time.Now()}
	if dir == "" {
		return r, nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	raw, err := json.MarshalIndent(header, "", " ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(dir, headerFile), raw, 0o644); err != nil {
		return nil, err
	}
	if r.file, err = os.Create(filepath.Join(dir, eventsFile)); err != nil {
		return nil, err
	}
	r.writer = bufio.NewWriterSize(r.file, 64<<10)
	return r, nil
}

// TimestampUs converts a time to microseconds on the recorder's clock.
func (r *Recorder) TimestampUs(t time.Time) int64 { return t.Sub(r.startTime).Microseconds() }

// Elapsed is the present time on the recorder's clock.
func (r *Recorder) Elapsed() time.Duration { return time.Since(r.startTime) }

// Record appends an event with the present time.
func (r *Recorder) Record(event Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event.TimeUs = r.Elapsed().Microseconds()
	if !r.DiscardEvents {
		r.events = append(r.events, event)
	}
	if r.writer != nil && r.err == nil {
		raw, err := json.Marshal(event)
		if err == nil {
			_, err = r.writer.Write(append(raw, '\n'))
		}
		r.err = err
	}
	if r.OnEvent != nil {
		r.OnEvent(event)
	}
}

// Events returns a copy of the events recorded so far.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}

// Close flushes and closes the file. It returns the first error of any write.
func (r *Recorder) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file == nil {
		return nil
	}
	err := r.err
	if e := r.writer.Flush(); err == nil {
		err = e
	}
	if e := r.file.Close(); err == nil {
		err = e
	}
	r.file = nil
	return err
}

// Read loads the record in the folder dir. The error for a bad line names the file and the line; the events before
// that line are returned with it.
func Read(dir string) (Header, []Event, error) {
	var header Header
	raw, err := os.ReadFile(filepath.Join(dir, headerFile))
	if err != nil {
		return header, nil, err
	}
	if err := json.Unmarshal(raw, &header); err != nil {
		return header, nil, fmt.Errorf("%s: %w", filepath.Join(dir, headerFile), err)
	}
	file, err := os.Open(filepath.Join(dir, eventsFile))
	if err != nil {
		return header, nil, err
	}
	defer file.Close()
	var events []Event
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var event Event
		if err := json.Unmarshal(scanner.Bytes(), &event); err != nil {
			return header, events, fmt.Errorf("%s:%d: %w", filepath.Join(dir, eventsFile), len(events)+1, err)
		}
		events = append(events, event)
	}
	if err := scanner.Err(); err != nil {
		return header, events, fmt.Errorf("%s:%d: %w", filepath.Join(dir, eventsFile), len(events)+1, err)
	}
	return header, events, nil
}
