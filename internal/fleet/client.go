package fleet

import (
	"fmt"
	"strings"
	"time"

	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/fakes"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/record"
)

// client is one try of a request by its client.
type client struct {
	sim           *simulation
	request       *fakes.Request
	try           int
	id            string
	dispatcher    *dispatcher
	submitted     *dispatch.ClientRequest
	finished      bool
	gotFirstToken bool
}

func (c *client) addRecord(what, word string, fill func(*record.Event)) {
	l := record.Event{Kind: what, Detail: word, Try: c.id, Request: c.request.Name, Class: c.request.Class,
		Dispatcher: c.dispatcher.name}
	if fill != nil {
		fill(&l)
	}
	c.sim.addRecord(l)
}

// submit makes one try of a request.
func (sim *simulation) submit(request *fakes.Request, try int, ticket string) {
	var candidates []*dispatcher
	for _, d := range sim.dispatchers {
		if d.inRotation {
			candidates = append(candidates, d)
		}
	}
	if len(candidates) == 0 {
		candidates = sim.dispatchers
	}
	d := candidates[(uint64(request.SubmitAt)+uint64(try)*7919)*0x9e3779b97f4a7c15>>33%uint64(len(candidates))]
	c := &client{sim: sim, request: request, try: try, id: fmt.Sprintf("%s.%d", request.Name, try), dispatcher: d}
	timeout := time.Duration(float64(request.Deadline) * request.PatienceShare)
	retryAdvice := ""
	if request.HonoursRetryAfter {
		retryAdvice = "follows"
	}
	c.addRecord(record.RequestSent, retryAdvice, func(l *record.Event) {
		l.DeadlineUs, l.LatencyTargetUs, l.Tokens = timeout.Microseconds(), request.LatencyTarget.Microseconds(),
			request.PromptTokens
	})
	if !d.running {
		c.loseConnection("unreached: the dispatcher is down")
		return
	}
	if request.LeaveAfter > 0 {
		sim.after(request.LeaveAfter, func() {
			if !c.finished {
				c.finished = true
				c.addRecord(record.ClientLeft, "", nil)
				if d.running && d.openClients[c] {
					delete(d.openClients, c)
					delete(d.clientOf, c.submitted)
					d.runInLoop(func() { d.loop.ClientDisconnected(c.submitted) })
				}
			}
		})
	}
	d.openClients[c] = true
	c.submitted = &dispatch.ClientRequest{Params: kserve.Request{ID: c.id, Session: request.Session,
		SharedPrefix: request.PrefixID, PromptTokens: request.PromptTokens, PrefixTokens: request.PrefixTokens,
		MaxTokens: request.MaxTokens, IsRetry: try > 0, RetryTicket: ticket}, Class: request.Class, Tenant: request.Tenant}
	d.clientOf[c.submitted] = c
	c.submitted.OnFinal = func(response kserve.FinalResponse) { sim.after(networkDelay, func() { c.final(response) }) }
	class, tenant := sim.scenario.ClassIndex(request.Class), max(sim.scenario.TenantIndex(request.Tenant), 0)
	sim.after(networkDelay, func() {
		if c.finished && request.LeaveAfter == 0 || !d.openClients[c] {
			return
		}
		d.runInLoop(func() { d.loop.Submit(c.submitted, class, tenant, timeout-2*networkDelay) })
	})
}

func (c *client) final(response kserve.FinalResponse) {
	if c.finished {
		return
	}
	c.finished = true
	delete(c.dispatcher.openClients, c)
	delete(c.dispatcher.clientOf, c.submitted)
	c.addRecord(record.FinalAnswer, response.Outcome, func(l *record.Event) {
		l.RetryAfterMs, l.Attempts = response.RetryAfterMs, response.Attempts
	})
	if response.Outcome != kserve.Served && (response.Outcome == kserve.Rejected || c.request.Idempotent) {
		ticket := response.RetryTicket
		if !c.request.HonoursRetryAfter {
			ticket = ""
		}
		c.retry(time.Duration(response.RetryAfterMs)*time.Millisecond, ticket)
	}
}

func (c *client) loseConnection(reason string) {
	if c.finished {
		return
	}
	c.finished = true
	delete(c.dispatcher.openClients, c)
	c.addRecord(record.ConnectionLost, reason, nil)
	if strings.HasPrefix(reason, "unreached") || c.request.Idempotent {
		c.retry(0, "")
	}
}

func (c *client) retry(retryAfter time.Duration, ticket string) {
	if c.try < c.request.Retries {
		c.sim.after(c.request.RetryDelay(c.try, retryAfter), func() { c.sim.submit(c.request, c.try+1, ticket) })
	}
}
