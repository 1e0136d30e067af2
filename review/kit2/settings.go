package kit2

// class is a class of requests, as the settings state it.
type class struct {
	name, effect, group string
	giveUpMs, windowMs  int
}

// The classes of a small deployment: what may run again, and what must not.
var smallClasses = []class{
	{"trail-info", "repeatable", "all", 6000, 5000},
	{"hut-booking", "once", "all", 4000, 5000},
}

// settings returns the settings of a small deployment.
func settings(classes []class, siblings, number int, change func(settings map[string]any)) map[string]any {
	var listed []any
	for _, c := range classes {
		listed = append(listed, map[string]any{
			"name": c.name, "effect": c.effect, "group": c.group, "stream": true, "worth": 2.0, "lateWorth": 0.2,
			"aimUs": 1500000, "giveUpUs": c.giveUpMs * 1000, "windowUs": c.windowMs * 1000,
		})
	}
	zeros := make([]float64, len(classes))
	s := map[string]any{
		"siblings": siblings, "slotNo": number, "discovery": "automatic", "dcs": []string{"hall-1"}, "zone": 0,
		"kinds": []string{"prompt-side", "answer-side"}, "family": "twostage", "stages": []string{"chat-fleet"}, "tier": 0,
		"familyInfo": map[string]any{
			"kindRole": []string{"read", "write"}, "localRead": false, "resume": true, "holdsAllowed": false,
			"tokensByKind": []int{200000, 200000}, "pinLimitUs": 500000, "aimUsPer1000PromptTokens": zeros,
			"transferPrice": 0.03, "tokenAimUs": zeros,
		},
		"policyLimits": map[string]any{
			"cancelling": true, "maxAttempts": 4, "connIdleUs": 30000000, "dialTimeoutUs": 250000, "retryAfter": true,
			"maxRetryAfterUs": 2000000, "maxOpen": 1000, "secondCopies": false, "peers": false, "probes": false,
		},
		"report": map[string]any{"fields": []string{"util", "queue", "x0"}, "source": "piggyback"},
		"rules": map[string]any{
			"drainGraceUs": 1000000, "answerSlackUs": 8000, "tipMultiple": 2.5, "tipAfterUs": 2000000, "coldFrom": 0.4,
			"rampTimeUs": 9000000, "askWithinUs": 10000000,
		},
		"requestClasses": listed, "tenants": []any{map[string]any{"name": "web-app", "quotaPerS": 1000, "fraction": 1}},
		"overShareWorth": 0.05, "valueBy": "work", "weights": "rough", "clientHabits": map[string]any{"marksRetry": true},
	}
	if change != nil {
		change(s)
	}
	return s
}
