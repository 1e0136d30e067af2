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
	Asked   = "asked"   // a client sent a try
	First   = "first"   // it has its first token
	Final   = "final"   // it has a final answer, Word says which
	Extra   = "extra"   // it got something after that
	Quit    = "quit"    // it left before any answer
	Cut     = "cut"     // its connection broke, or none was to be had, without a final answer
	Trip    = "trip"    // a box got a trip
	Ran     = "ran"     // the trip began to have its effect there
	Repeat  = "repeat"  // it was known for a repeat and had none
	End     = "end"     // the box was done with it, Word says how
	Closed  = "closed"  // the dispatcher closed the trip's connection
	Held    = "held"    // a read state waits at the box
	Let     = "let"     // it waits no more, Word says why: taken, released, expired, lost
	Up      = "up"      // a box or dispatcher started
	Down    = "down"    // it was killed or stopped, Word says how
	Fell    = "fell"    // a cold box was pushed over
	Told    = "told"    // the list told a dispatcher of a box, Word is its standing
	Counted = "counted" // a box counted what a trip cost it
	Note    = "note"    // a trouble began or ended
)

// Line is one thing seen.
type Line struct {
	At         int64   `json:"at"` // microseconds since the day began
	What       string  `json:"what"`
	Box        string  `json:"box,omitempty"`
	Address    string  `json:"address,omitempty"` // of the box, by which a trip came
	Dispatcher string  `json:"dispatcher,omitempty"`
	Try        string  `json:"try,omitempty"` // the client's id for one try, which is the question's mark
	Question   string  `json:"question,omitempty"`
	Grade      string  `json:"grade,omitempty"`
	Word       string  `json:"word,omitempty"`
	Stage      string  `json:"stage,omitempty"`
	Trip       int     `json:"trip,omitempty"`
	Key        string  `json:"key,omitempty"` // the question at a box: dispatcher, its start, the question's number
	Start      uint64  `json:"start,omitempty"`
	Work       float64 `json:"work,omitempty"`      // seconds of the box's full capacity
	ExpiryUs   int64   `json:"expiry_us,omitempty"` // after Asked, by when the client wants an answer
	PromiseUs  int64   `json:"promise_us,omitempty"`
	Tokens     int     `json:"tokens,omitempty"`
	Kept       int     `json:"kept,omitempty"`   // of Counted, whose Tokens are those read
	Answer     int     `json:"answer,omitempty"` // of Counted
	Trips      int     `json:"trips,omitempty"`
	AfterMs    int64   `json:"after_ms,omitempty"`
	Took       int64   `json:"took_us,omitempty"`
	Cold       bool    `json:"cold,omitempty"`
	Arrived    int64   `json:"arrived,omitempty"` // when a trip's bytes reached the box's machine, if its process read them later
	Gone       int64   `json:"gone,omitempty"`    // when the dispatcher had closed the trip's connection by then already
}

// Head is what a judge needs beside the lines.
type Head struct {
	Day   string           `json:"day"`
	Seed  uint64           `json:"seed"`
	Terms setup.Deployment `json:"terms"`
	Boxes []Place          `json:"boxes"`
}

// Place is where a box stands.
type Place struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	Role string `json:"role"`
	Zone string `json:"zone"`
	Rack string `json:"rack"`
}

// Book takes lines down. The zero Book keeps them in memory only.
type Book struct {
	began time.Time
	mu    sync.Mutex
	lines []Line
	file  *os.File
	out   *bufio.Writer
	err   error
	Watch func(Line) // called with each line, under no promise of speed

	Forgets bool // lines are handed to Watch and the file only
}

const (
	headFile  = "head.json"
	linesFile = "record.jsonl"
)

// Open starts a book in a folder; no folder keeps it in memory.
func Open(dir string, head Head) (*Book, error) {
	b := &Book{began: time.Now()}
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
func (b *Book) Stamp(t time.Time) int64 { return t.Sub(b.began).Microseconds() }

// Since is the book's clock.
func (b *Book) Since() time.Duration { return time.Since(b.began) }

// Put takes a line down at the present time.
func (b *Book) Put(l Line) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.At = b.Since().Microseconds()
	if !b.Forgets {
		b.lines = append(b.lines, l)
	}
	if b.out != nil && b.err == nil {
		raw, err := json.Marshal(l)
		if err == nil {
			_, err = b.out.Write(append(raw, '\n'))
		}
		b.err = err
	}
	if b.Watch != nil {
		b.Watch(l)
	}
}

// Lines returns what was taken down so far.
func (b *Book) Lines() []Line {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Line(nil), b.lines...)
}

// Close ends the file.
func (b *Book) Close() error {
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
func Read(dir string) (Head, []Line, error) {
	var head Head
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
	var lines []Line
	scan := bufio.NewScanner(f)
	scan.Buffer(nil, 1<<20)
	for scan.Scan() {
		var l Line
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
