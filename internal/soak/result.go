package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// Result is the outcome of a run.
type Result struct {
	Verdict
	Seed         uint64
	Faults       []Fault
	Requests     int
	Attempts     int
	Statuses     map[int]int
	Resent       int // requests that were sent a second time
	usage        usage
	Lateness     time.Duration // largest scheduling delay of the soak itself
	Inconclusive bool          // the soak ran too late to attribute delays to the dispatchers
}

// Table prints the outcome of a run.
func (res Result) Table(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d requests, %d attempts, %d faults, %d sent again on a new connection, answers %v\n",
		res.Seed, res.Requests, res.Attempts, len(res.Faults), res.Resent, res.Statuses)
	kinds := map[Kind]int{}
	for _, f := range res.Faults {
		kinds[f.Kind]++
	}
	fmt.Fprint(w, "faults:")
	for _, k := range slices.Sorted(maps.Keys(kinds)) {
		fmt.Fprintf(w, " %s %d", k, kinds[k])
	}
	fmt.Fprintf(w, "\npairs that overlapped: %d kinds; the soak itself was late by up to %v\n",
		len(Overlaps(res.Faults)), res.Lateness.Round(time.Millisecond))
	fmt.Fprintf(w, "a dispatcher needed %v\n", res.usage)
	if res.Inconclusive {
		fmt.Fprintf(w, "NOT JUDGED: the soak lagged by over %v; what follows may be its own\n", maxLateness)
	}
	broken := map[string]int{}
	for _, v := range res.Violations {
		broken[v.Rule]++
	}
	for _, rule := range Rules {
		note := ""
		if res.Chances[rule] < fewChances {
			note = "  (few chances)"
		}
		fmt.Fprintf(w, "  %-14s %6d chances, broken %d%s\n", rule, res.Chances[rule], broken[rule], note)
	}
	for _, v := range res.Violations {
		fmt.Fprintf(w, "BROKEN %s at %.3f s: %s\n", v.Rule, v.At.Seconds(), v.Text)
	}
}

// fewChances is the number of chances below which the line of a rule is marked.
const fewChances = 20

// result checks the record while the processes are still up.
func (r *run) result(faults []Fault) Result {
	res := Result{Seed: r.options.Seed, Faults: faults, Statuses: map[int]int{}}
	res.usage = usageOf(r.pids())
	r.record.mu.Lock()
	res.Verdict = checkRecord(r.record, func(dispatcher int) []span { return r.discovery.agents[dispatcher].outages })
	res.Requests, res.Attempts = len(r.record.requests), len(r.record.attempts)
	for _, req := range r.record.requests {
		res.Statuses[req.status]++
		if len(req.sentAt) > 1 {
			res.Resent++
		}
	}
	r.record.mu.Unlock()
	r.mu.Lock()
	res.Lateness = r.lateness.largest()
	res.Inconclusive = res.Lateness > maxLateness
	res.Violations = append(res.Violations, r.badClientViolations...)
	res.Chances[ruleBad] = r.badClientsSeen
	r.mu.Unlock()
	return res
}

// pids returns the ids of the processes that are ready.
func (r *run) pids() (pids []int) {
	for _, d := range r.dispatchers {
		d.mu.Lock()
		if d.ready {
			pids = append(pids, d.cmd.Process.Pid)
		}
		d.mu.Unlock()
	}
	return pids
}
