package kit2

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	held     = 0 // the rule held
	broken   = 1 // the rule was broken
	couldNot = 2 // the case could not run
)

// cases are the cases by name. Each returns what it saw of the rule, or an error if it could not run.
var cases = map[string]func(w *world) (verdict, error){
	"slow-change":   slowChange,
	"slow-start":    slowStart,
	"old-list":      oldList,
	"paused-stream": pausedStream,
	"reset-reads":   resetReads,
	"leavers":       leavers,
	"lost-counts":   lostCounts,
	"half-heads":    halfHeads,
}

// verdict is what a case saw of its rule.
type verdict struct {
	broken bool
	text   string
}

// Play plays the named case, writes its record to a file and returns its exit code.
func Play(name, recordFile string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return couldNot
	}
	return run(play, recordFile)
}

// run plays a case and returns its exit code.
func run(play func(w *world) (verdict, error), recordFile string) int {
	w, err := newWorld(recordFile, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return couldNot
	}
	defer w.close()
	v, err := play(w)
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return couldNot
	case v.broken:
		w.note("the rule was broken: %s", v.text)
		fmt.Println("broken:", v.text)
		return broken
	}
	w.note("the rule held: %s", v.text)
	fmt.Println("held:", v.text)
	return held
}
