package brain

import (
	"math"
	"time"
)

// parameters are the settings that decisions use, in typed form. Looking settings up by name for each of
// thousands of backends would cost more than the decision itself.
type parameters struct {
	dispatchers  float64 // number of dispatchers that share the fleet
	number       float64 // index of this one, from 0
	zone         int
	maxAttempts  int
	cancelling   bool // attempts can be cancelled
	retryAfter   bool // rejections say when to retry
	retryMost    time.Duration
	readsInPlace bool          // decode backends may prefill
	holdLimit    time.Duration // how long a KV cache may wait for decode; 0: without limit

	slowStartMultiple float64       // work per window in slow start, as a multiple of present capacity
	slowStartShare    float64       // share of capacity right after a start
	slowStartWindow   time.Duration // window in which that work counts
	slowStartTime     time.Duration // duration of slow start

	crossZonePrice float64
	peerPrice      float64
	surplusValue   float64 // share of its value that a request over quota has
	valueByWork    bool    // the value of a request is stated per unit of work
	reportFields   []string
}

// parametersOf reads the parameters from settings that have their defaults.
func parametersOf(f Facts) parameters {
	return parameters{
		dispatchers:  f.Num("siblings", 1),
		number:       f.Num("slotNo", 0),
		zone:         int(f.Num("zone", 0)),
		maxAttempts:  int(f.Num("policyLimits.maxAttempts", 1)),
		cancelling:   f.Yes("policyLimits.cancelling"),
		retryAfter:   f.Yes("policyLimits.retryAfter"),
		retryMost:    f.Span("policyLimits.maxRetryAfterUs"),
		readsInPlace: f.Yes("familyInfo.localRead"),
		holdLimit:    f.Span("familyInfo.pinLimitUs"),

		slowStartMultiple: f.Num("rules.tipMultiple", 1),
		slowStartShare:    f.Num("rules.coldFrom", 0),
		slowStartWindow:   f.Span("rules.tipAfterUs"),
		slowStartTime:     f.Span("rules.rampTimeUs"),

		crossZonePrice: f.Num("prices.crossZone", 0),
		peerPrice:      f.Num("prices.peer", 0),
		surplusValue:   f.Num("overShareWorth", 1),
		valueByWork:    f.Text("valueBy") == "work",
		reportFields:   f.reportFields(),
	}
}

// ownShare is this dispatcher's part of a total over all dispatchers.
func (p *parameters) share(whole float64) float64 { return whole / math.Max(p.dispatchers, 1) }
