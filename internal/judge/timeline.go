package judge

import (
	"time"

	"sloetrestle/internal/record"
)

// Timeline is, for each second of a run, the share of the questions first asked in it that were answered in their
// promised time, counted from the first try; and how many were asked, and how many tries came.
func Timeline(head record.Header, lines []record.Event) (share, asked, tries []float64) {
	type question struct {
		at, promise int64
		seen        bool
	}
	first := map[string]*question{}
	of := map[string]string{}
	second := int64(time.Second / time.Microsecond)
	grow := func(at int64) int {
		for int64(len(asked)) <= at/second {
			share, asked, tries = append(share, 0), append(asked, 0), append(tries, 0)
		}
		return int(at / second)
	}
	for _, l := range lines {
		switch l.Kind {
		case record.RequestSent:
			of[l.Try] = l.Request
			tries[grow(l.TimeUs)]++
			if first[l.Request] == nil {
				first[l.Request] = &question{at: l.TimeUs, promise: l.LatencyTargetUs}
				asked[l.TimeUs/second]++
			}
		case record.FirstToken:
			if q := first[of[l.Try]]; q != nil && !q.seen {
				q.seen = true
				if l.TimeUs-q.at <= q.promise {
					share[q.at/second]++
				}
			}
		}
	}
	for i := range share {
		if asked[i] > 0 {
			share[i] /= asked[i]
		}
	}
	return share, asked, tries
}

// Recovered tells after how many seconds from back on questions are answered as they were before the outage: in every
// three seconds from there, at least 95% of that. False: not within the run.
func RecoverySeconds(share, asked []float64, outage, back time.Duration) (float64, bool) {
	from, to := int(outage/time.Second), int(back/time.Second)
	before, n := 0.0, 0.0
	for i := 2; i < from && i < len(share); i++ {
		before, n = before+share[i]*asked[i], n+asked[i]
	}
	if n == 0 {
		return 0, false
	}
	before /= n
	last := len(asked)
	for last > 0 && asked[last-1] == 0 {
		last--
	}
	recovered := -1
	for i := to; i+3 <= last; i++ {
		sum, of := 0.0, 0.0
		for j := i; j < i+3; j++ {
			sum, of = sum+share[j]*asked[j], of+asked[j]
		}
		if of == 0 || sum/of < 0.95*before {
			recovered = -1
		} else if recovered < 0 {
			recovered = i
		}
	}
	return float64(recovered - to), recovered >= 0
}

// Followers is the share of questions satisfied in the end, of clients that follow the advice and of the others; of an
// empty group -1. byGrade has that of the followers.
func ServedByRetryAdvice(lines []record.Event) (followers, others float64, byGrade map[string]float64) {
	type question struct {
		follows, done bool
		grade         string
	}
	questions, of := map[string]*question{}, map[string]*question{}
	for _, l := range lines {
		switch {
		case l.Kind == record.RequestSent:
			q := questions[l.Request]
			if q == nil {
				q = &question{grade: l.Class}
				questions[l.Request] = q
			}
			q.follows, of[l.Try] = l.Detail == "follows", q
		case l.Kind == record.FinalAnswer && l.Detail == "satisfied" && of[l.Try] != nil:
			of[l.Try].done = true
		}
	}
	var n, well [2]float64
	asked := map[string]float64{}
	byGrade = map[string]float64{}
	for _, q := range questions {
		i := 1
		if q.follows {
			i = 0
			asked[q.grade]++
		}
		n[i]++
		if q.done {
			well[i]++
			if q.follows {
				byGrade[q.grade]++
			}
		}
	}
	for grade, n := range asked {
		byGrade[grade] /= n
	}
	for i := range n {
		if n[i] == 0 {
			n[i], well[i] = 1, -1
		}
	}
	return well[0] / n[0], well[1] / n[1], byGrade
}
