// Package record is what the far ends of a run's sockets saw: one line for each thing that a client, a box, the
// box list or the keeper of processes noticed, on one clock. It judges nothing and never holds a dispatcher's own
// word. Begin with Line.
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

// What a line tells of.
const (
	RequestSent      = "asked"   // a client sent a try
	FirstToken       = "first"   // it has its first token
	FinalAnswer      = "final"   // it has a final answer, Word says which
	AfterFinal       = "extra"   // it got something after that
	ClientLeft       = "quit"    // it left before any answer
	ConnectionLost   = "cut"     // its connection broke, or none was to be had, without a final answer
	AttemptReceived  = "trip"    // a box got a trip
	EffectStarted    = "ran"     // the trip began to have its effect there
	DuplicateDropped = "repeat"  // it was known for a repeat and had none
	AttemptEnded     = "end"     // the box was done with it, Word says how
	AttemptClosed    = "closed"  // the dispatcher closed the trip's connection
	KVCacheHeld      = "held"    // a read state waits at the box
	KVCacheReleased  = "let"     // it waits no more, Word says why: taken, released, expired, lost
	ProcessStarted   = "up"      // a box or dispatcher started
	ProcessEnded     = "down"    // it was killed or stopped, Word says how
	Overloaded       = "fell"    // a cold box was pushed over
	EndpointNotified = "told"    // the list told a dispatcher of a box, Word is its standing
	UsageCounted     = "counted" // a box counted what a trip cost it
	Note             = "note"    // a trouble began or ended
)

// Line is one thing seen.
type Event struct {
	TimeUs          int64   `json:"at"` // microseconds since the day began
	Kind            string  `json:"what"`
	Backend         string  `json:"box,omitempty"`
	Address         string  `json:"address,omitempty"` // of the box, by which a trip came
	Dispatcher      string  `json:"dispatcher,omitempty"`
	Try             string  `json:"try,omitempty"` // the client's id for one try, which is the question's mark
	Request         string  `json:"question,omitempty"`
	Class           string  `json:"grade,omitempty"`
	Detail          string  `json:"word,omitempty"`
	Phase           string  `json:"stage,omitempty"`
	Attempt         int     `json:"trip,omitempty"`
	RequestKey      string  `json:"key,omitempty"` // the question at a box: dispatcher, its start, the question's number
	StartID         uint64  `json:"start,omitempty"`
	Work            float64 `json:"work,omitempty"`      // seconds of the box's full capacity
	DeadlineUs      int64   `json:"expiry_us,omitempty"` // after Asked, by when the client wants an answer
	LatencyTargetUs int64   `json:"promise_us,omitempty"`
	Tokens          int     `json:"tokens,omitempty"`
	CachedTokens    int     `json:"kept,omitempty"`   // of Counted, whose Tokens are those read
	AnswerTokens    int     `json:"answer,omitempty"` // of Counted
	Attempts        int     `json:"trips,omitempty"`
	RetryAfterMs    int64   `json:"after_ms,omitempty"`
	ElapsedUs       int64   `json:"took_us,omitempty"`
	SlowStart       bool    `json:"cold,omitempty"`
	ArrivedUs       int64   `json:"arrived,omitempty"` // when a trip's bytes reached the box's machine, if its process read them later
	ClosedUs        int64   `json:"gone,omitempty"`    // when the dispatcher had closed the trip's connection by then already
}

// Head is what a judge needs beside the lines.
type Header struct {
	Scenario string           `json:"day"`
	Seed     uint64           `json:"seed"`
	Terms    setup.Deployment `json:"terms"`
	Backends []Backend        `json:"boxes"`
}

// Place is where a box stands.
type Backend struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	Role string `json:"role"`
	Zone string `json:"zone"`
	Rack string `json:"rack"`
}

// Book takes lines down. The zero Book keeps them in memory only.
type Recorder struct {
	began   time.Time
	mu      sync.Mutex
	lines   []Event
	file    *os.File
	out     *bufio.Writer
	err     error
	OnEvent func(Event) // called with each line, under no promise of speed

	DiscardEvents bool // lines are handed to Watch and the file only
}

const (
	headFile  = "head.json"
	linesFile = "record.jsonl"
)

// Open starts a book in a folder; no folder keeps it in memory.
func Open(dir string, head Header) (*Recorder, error) {
	b := &Recorder{began: time.Now()}
	if dir == "" {
		return b, nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	raw, err := json.MarshalIndent(head, "", " ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(dir, headFile), raw, 0o644); err != nil {
		return nil, err
	}
	if b.file, err = os.Create(filepath.Join(dir, linesFile)); err != nil {
		return nil, err
	}
	b.out = bufio.NewWriterSize(b.file, 64<<10)
	return b, nil
}

// Stamp is a time on the book's clock, in microseconds.
func (b *Recorder) TimestampUs(t time.Time) int64 { return t.Sub(b.began).Microseconds() }

// Since is the book's clock.
func (b *Recorder) Elapsed() time.Duration { return time.Since(b.began) }

// Put takes a line down at the present time.
func (b *Recorder) Record(l Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.TimeUs = b.Elapsed().Microseconds()
	if !b.DiscardEvents {
		b.lines = append(b.lines, l)
	}
	if b.out != nil && b.err == nil {
		raw, err := json.Marshal(l)
		if err == nil {
			_, err = b.out.Write(append(raw, '\n'))
		}
		b.err = err
	}
	if b.OnEvent != nil {
		b.OnEvent(l)
	}
}

// Lines returns what was taken down so far.
func (b *Recorder) Events() []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Event(nil), b.lines...)
}

// Close ends the file.
func (b *Recorder) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.file == nil {
		return nil
	}
	err := b.err
	if e := b.out.Flush(); err == nil {
		err = e
	}
	if e := b.file.Close(); err == nil {
		err = e
	}
	b.file = nil
	return err
}

// Read loads a kept record.
func Read(dir string) (Header, []Event, error) {
	var head Header
	raw, err := os.ReadFile(filepath.Join(dir, headFile))
	if err != nil {
		return head, nil, err
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return head, nil, fmt.Errorf("%s: %w", filepath.Join(dir, headFile), err)
	}
	f, err := os.Open(filepath.Join(dir, linesFile))
	if err != nil {
		return head, nil, err
	}
	defer f.Close()
	var lines []Event
	scan := bufio.NewScanner(f)
	scan.Buffer(nil, 1<<20)
	for scan.Scan() {
		var l Event
		if err := json.Unmarshal(scan.Bytes(), &l); err != nil {
			return head, lines, fmt.Errorf("%s:%d: %w", filepath.Join(dir, linesFile), len(lines)+1, err)
		}
		lines = append(lines, l)
	}
	if err := scan.Err(); err != nil {
		return head, lines, fmt.Errorf("%s:%d: %w", filepath.Join(dir, linesFile), len(lines)+1, err)
	}
	return head, lines, nil
}
