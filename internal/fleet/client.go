package fleet

import (
	"fmt"
	"strings"
	"time"

	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/record"
	"sloetrestle/internal/standin"
)

// client is one try of a request by its client.
type client struct {
	sim           *simulation
	request       *standin.Request
	try           int
	id            string
	dispatcher    *dispatcher
	submitted     *dispatch.ClientRequest
	finished      bool
	gotFirstToken bool
}

func (c *client) addRecord(what, word string, more func(*record.Line)) {
	l := record.Line{What: what, Word: word, Try: c.id, Question: c.request.Name, Grade: c.request.Class, Dispatcher: c.dispatcher.name}
	if more != nil {
		more(&l)
	}
	c.sim.addRecord(l)
}

// submit makes one try of a request.
func (sim *simulation) submit(wish *standin.Request, try int, ticket string) {
	var up []*dispatcher
	for _, d := range sim.dispatchers {
		if d.inRotation {
			up = append(up, d)
		}
	}
	if len(up) == 0 {
		up = sim.dispatchers
	}
	d := up[(uint64(wish.SubmitAt)+uint64(try)*7919)*0x9e3779b97f4a7c15>>33%uint64(len(up))]
	c := &client{sim: sim, request: wish, try: try, id: fmt.Sprintf("%s.%d", wish.Name, try), dispatcher: d}
	left := time.Duration(float64(wish.Deadline) * wish.PatienceShare)
	follows := ""
	if wish.HonoursRetryAfter {
		follows = "follows"
	}
	c.addRecord(record.Asked, follows, func(l *record.Line) {
		l.ExpiryUs, l.PromiseUs, l.Tokens = left.Microseconds(), wish.LatencyTarget.Microseconds(), wish.PromptTokens
	})
	if !d.running {
		c.loseConnection("unreached: the dispatcher is down")
		return
	}
	if wish.LeaveAfter > 0 {
		sim.after(wish.LeaveAfter, func() {
			if !c.finished {
				c.finished = true
				c.addRecord(record.Quit, "", nil)
				if d.running && d.openClients[c] {
					delete(d.openClients, c)
					delete(d.clientOf, c.submitted)
					d.runInLoop(func() { d.loop.ClientDisconnected(c.submitted) })
				}
			}
		})
	}
	d.openClients[c] = true
	c.submitted = &dispatch.ClientRequest{Params: kserve.Request{ID: c.id, Session: wish.Session, SharedPrefix: wish.PrefixID, PromptTokens: wish.PromptTokens, PrefixTokens: wish.PrefixTokens, MaxTokens: wish.MaxTokens,
		IsRetry: try > 0, RetryTicket: ticket}, Class: wish.Class, Tenant: wish.Tenant}
	d.clientOf[c.submitted] = c
	c.submitted.OnFinal = func(f kserve.FinalResponse) { sim.after(networkDelay, func() { c.final(f) }) }
	grade, channel := sim.scenario.ClassIndex(wish.Class), max(sim.scenario.TenantIndex(wish.Tenant), 0)
	sim.after(networkDelay, func() {
		if c.finished && wish.LeaveAfter == 0 || !d.openClients[c] {
			return
		}
		d.runInLoop(func() { d.loop.Submit(c.submitted, grade, channel, left-2*networkDelay) })
	})
}

func (c *client) final(f kserve.FinalResponse) {
	if c.finished {
		return
	}
	c.finished = true
	delete(c.dispatcher.openClients, c)
	delete(c.dispatcher.clientOf, c.submitted)
	c.addRecord(record.Final, f.Outcome, func(l *record.Line) { l.AfterMs, l.Trips = f.RetryAfterMs, f.Attempts })
	if f.Outcome != kserve.Served && (f.Outcome == kserve.Rejected || c.request.Idempotent) {
		ticket := f.RetryTicket
		if !c.request.HonoursRetryAfter {
			ticket = ""
		}
		c.retry(time.Duration(f.RetryAfterMs)*time.Millisecond, ticket)
	}
}

func (c *client) loseConnection(why string) {
	if c.finished {
		return
	}
	c.finished = true
	delete(c.dispatcher.openClients, c)
	c.addRecord(record.Cut, why, nil)
	if strings.HasPrefix(why, "unreached") || c.request.Idempotent {
		c.retry(0, "")
	}
}

func (c *client) retry(told time.Duration, ticket string) {
	if c.try < c.request.Retries {
		c.sim.after(c.request.RetryDelay(c.try, told), func() { c.sim.submit(c.request, c.try+1, ticket) })
	}
}
