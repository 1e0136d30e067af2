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

// client is one try.
type client struct {
	w     *world
	wish  *standin.Request
	try   int
	id    string
	d     *dispatcher
	asked *dispatch.ClientRequest
	over  bool
	first bool
}

func (c *client) put(what, word string, more func(*record.Event)) {
	l := record.Event{Kind: what, Detail: word, Try: c.id, Request: c.wish.Name, Class: c.wish.Class, Dispatcher: c.d.name}
	if more != nil {
		more(&l)
	}
	c.w.put(l)
}

// ask makes one try of a request.
func (w *world) ask(wish *standin.Request, try int, ticket string) {
	var up []*dispatcher
	for _, d := range w.dispatchers {
		if d.front {
			up = append(up, d)
		}
	}
	if len(up) == 0 {
		up = w.dispatchers
	}
	d := up[(uint64(wish.SubmitAt)+uint64(try)*7919)*0x9e3779b97f4a7c15>>33%uint64(len(up))]
	c := &client{w: w, wish: wish, try: try, id: fmt.Sprintf("%s.%d", wish.Name, try), d: d}
	left := time.Duration(float64(wish.Deadline) * wish.PatienceShare)
	follows := ""
	if wish.HonoursRetryAfter {
		follows = "follows"
	}
	c.put(record.RequestSent, follows, func(l *record.Event) {
		l.DeadlineUs, l.LatencyTargetUs, l.Tokens = left.Microseconds(), wish.LatencyTarget.Microseconds(), wish.PromptTokens
	})
	if !d.up {
		c.cut("unreached: the dispatcher is down")
		return
	}
	if wish.LeaveAfter > 0 {
		w.after(wish.LeaveAfter, func() {
			if !c.over {
				c.over = true
				c.put(record.ClientLeft, "", nil)
				if d.up && d.open[c] {
					delete(d.open, c)
					delete(d.of, c.asked)
					d.do(func() { d.loop.ClientDisconnected(c.asked) })
				}
			}
		})
	}
	d.open[c] = true
	c.asked = &dispatch.ClientRequest{Params: kserve.Request{ID: c.id, Session: wish.Session, SharedPrefix: wish.PrefixID, PromptTokens: wish.PromptTokens, PrefixTokens: wish.PrefixTokens, MaxTokens: wish.MaxTokens,
		IsRetry: try > 0, RetryTicket: ticket}, Class: wish.Class, Tenant: wish.Tenant}
	d.of[c.asked] = c
	c.asked.OnFinal = func(f kserve.FinalResponse) { w.after(hop, func() { c.final(f) }) }
	grade, channel := w.day.ClassIndex(wish.Class), max(w.day.TenantIndex(wish.Tenant), 0)
	w.after(hop, func() {
		if c.over && wish.LeaveAfter == 0 || !d.open[c] {
			return
		}
		d.do(func() { d.loop.Submit(c.asked, grade, channel, left-2*hop) })
	})
}

func (c *client) final(f kserve.FinalResponse) {
	if c.over {
		return
	}
	c.over = true
	delete(c.d.open, c)
	delete(c.d.of, c.asked)
	c.put(record.FinalAnswer, f.Outcome, func(l *record.Event) { l.RetryAfterMs, l.Attempts = f.RetryAfterMs, f.Attempts })
	if f.Outcome != kserve.Served && (f.Outcome == kserve.Rejected || c.wish.Idempotent) {
		ticket := f.RetryTicket
		if !c.wish.HonoursRetryAfter {
			ticket = ""
		}
		c.again(time.Duration(f.RetryAfterMs)*time.Millisecond, ticket)
	}
}

func (c *client) cut(why string) {
	if c.over {
		return
	}
	c.over = true
	delete(c.d.open, c)
	c.put(record.ConnectionLost, why, nil)
	if strings.HasPrefix(why, "unreached") || c.wish.Idempotent {
		c.again(0, "")
	}
}

func (c *client) again(told time.Duration, ticket string) {
	if c.try < c.wish.Retries {
		c.w.after(c.wish.RetryDelay(c.try, told), func() { c.w.ask(c.wish, c.try+1, ticket) })
	}
}
