package checker

import (
	"time"

	"sloetrestle/internal/record"
)

// Timeline returns, for each second of a run, the share of the requests first sent in it that had their first token
// within the latency target, counted from the first try; the number of those requests; and the number of tries sent.
func Timeline(header record.Header, events []record.Event) (inTimeShare, requests, tries []float64) {
	type request struct {
		sentUs, latencyTargetUs int64
		answered                bool
	}
	firstTries := map[string]*request{} // by request
	requestOf := map[string]string{}    // by try
	second := int64(time.Second / time.Microsecond)
	extendTo := func(timeUs int64) int {
		for int64(len(requests)) <= timeUs/second {
			inTimeShare, requests, tries = append(inTimeShare, 0), append(requests, 0), append(tries, 0)
		}
		return int(timeUs / second)
	}
	for _, event := range events {
		switch event.Kind {
		case record.RequestSent:
			requestOf[event.Try] = event.Request
			tries[extendTo(event.TimeUs)]++
			if firstTries[event.Request] == nil {
				firstTries[event.Request] = &request{sentUs: event.TimeUs, latencyTargetUs: event.LatencyTargetUs}
				requests[event.TimeUs/second]++
			}
		case record.FirstToken:
			if r := firstTries[requestOf[event.Try]]; r != nil && !r.answered {
				r.answered = true
				if event.TimeUs-r.sentUs <= r.latencyTargetUs {
					inTimeShare[r.sentUs/second]++
				}
			}
		}
	}
	for i := range inTimeShare {
		if requests[i] > 0 {
			inTimeShare[i] /= requests[i]
		}
	}
	return inTimeShare, requests, tries
}

// RecoverySeconds returns how many seconds after the end of an outage the share of requests answered in time is as
// before the outage: at least 95% of that, in every three seconds from then to the end of the run. It returns false if
// the run does not recover.
func RecoverySeconds(inTimeShare, requests []float64, outageStart, outageEnd time.Duration) (float64, bool) {
	startSecond, endSecond := int(outageStart/time.Second), int(outageEnd/time.Second)
	shareBefore, requestsBefore := 0.0, 0.0
	for i := 2; i < startSecond && i < len(inTimeShare); i++ {
		shareBefore, requestsBefore = shareBefore+inTimeShare[i]*requests[i], requestsBefore+requests[i]
	}
	if requestsBefore == 0 {
		return 0, false
	}
	shareBefore /= requestsBefore
	seconds := len(requests)
	for seconds > 0 && requests[seconds-1] == 0 {
		seconds--
	}
	recovered := -1
	for i := endSecond; i+3 <= seconds; i++ {
		inTime, total := 0.0, 0.0
		for j := i; j < i+3; j++ {
			inTime, total = inTime+inTimeShare[j]*requests[j], total+requests[j]
		}
		if total == 0 || inTime/total < 0.95*shareBefore {
			recovered = -1
		} else if recovered < 0 {
			recovered = i
		}
	}
	return float64(recovered - endSecond), recovered >= 0
}

// ServedByRetryAdvice returns the share of requests that were served by any try, for clients that follow the retry
// advice and for the others; -1 for an empty group. followersByClass has the followers' share for each class.
func ServedByRetryAdvice(events []record.Event) (followers, others float64, followersByClass map[string]float64) {
	type request struct {
		followsAdvice, served bool
		class                 string
	}
	requests, requestOf := map[string]*request{}, map[string]*request{} // by request, by try
	for _, event := range events {
		switch {
		case event.Kind == record.RequestSent:
			r := requests[event.Request]
			if r == nil {
				r = &request{class: event.Class}
				requests[event.Request] = r
			}
			r.followsAdvice, requestOf[event.Try] = event.Detail == "follows", r
		case event.Kind == record.FinalAnswer && event.Detail == "satisfied" && requestOf[event.Try] != nil:
			requestOf[event.Try].served = true
		}
	}
	var total, served [2]float64 // of the followers, of the others
	followersSent := map[string]float64{}
	followersByClass = map[string]float64{}
	for _, r := range requests {
		group := 1
		if r.followsAdvice {
			group = 0
			followersSent[r.class]++
		}
		total[group]++
		if r.served {
			served[group]++
			if r.followsAdvice {
				followersByClass[r.class]++
			}
		}
	}
	for class, n := range followersSent {
		followersByClass[class] /= n
	}
	for group := range total {
		if total[group] == 0 {
			total[group], served[group] = 1, -1
		}
	}
	return served[0] / total[0], served[1] / total[1], followersByClass
}
