package scheduler

import (
	"math"
	"time"
)

// parameters are the settings that decisions use, in typed form. Looking settings up by name for each of
// thousands of backends would cost more than the decision itself.
type parameters struct {
	dispatchers      float64 // number of dispatchers that share the fleet
	index            float64 // index of this one, from 0
	zone             int
	maxAttempts      int
	canCancel        bool // attempts can be cancelled
	retryAfter       bool // rejections say when to retry
	maxRetryAfter    time.Duration
	decodeMayPrefill bool          // decode backends may prefill
	holdLimit        time.Duration // how long a KV cache may wait for decode; 0: without limit

	slowStartMultiple float64       // work per window in slow start, as a multiple of present capacity
	slowStartShare    float64       // share of capacity right after a start
	slowStartWindow   time.Duration // window in which that work counts
	slowStartTime     time.Duration // duration of slow start

	crossZonePrice float64
	peerPrice      float64
	overQuotaValue float64 // share of its value that a request over quota has
	valueByWork    bool    // the value of a request is stated per unit of work
	reportFields   []string
}

// parametersOf reads the parameters from settings that have their defaults.
func parametersOf(settings Settings) parameters {
	return parameters{
		dispatchers:      settings.Number("siblings", 1),
		index:            settings.Number("slotNo", 0),
		zone:             int(settings.Number("zone", 0)),
		maxAttempts:      int(settings.Number("policyLimits.maxAttempts", 1)),
		canCancel:        settings.Bool("policyLimits.cancelling"),
		retryAfter:       settings.Bool("policyLimits.retryAfter"),
		maxRetryAfter:    settings.Duration("policyLimits.maxRetryAfterUs"),
		decodeMayPrefill: settings.Bool("familyInfo.localRead"),
		holdLimit:        settings.Duration("familyInfo.pinLimitUs"),

		slowStartMultiple: settings.Number("rules.tipMultiple", 1),
		slowStartShare:    settings.Number("rules.coldFrom", 0),
		slowStartWindow:   settings.Duration("rules.tipAfterUs"),
		slowStartTime:     settings.Duration("rules.rampTimeUs"),

		crossZonePrice: settings.Number("prices.crossZone", 0),
		peerPrice:      settings.Number("prices.peer", 0),
		overQuotaValue: settings.Number("overShareWorth", 1),
		valueByWork:    settings.Text("valueBy") == "work",
		reportFields:   settings.reportFields(),
	}
}

// ownShare is this dispatcher's part of a total over all dispatchers.
func (p *parameters) ownShare(whole float64) float64 { return whole / math.Max(p.dispatchers, 1) }
