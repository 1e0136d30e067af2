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
	wish  *standin.Wish
	try   int
	id    string
	d     *dispatcher
	asked *dispatch.ClientRequest
	over  bool
	first bool
}

func (c *client) put(what, word string, more func(*record.Event)) {
	l := record.Event{Kind: what, Detail: word, Try: c.id, Request: c.wish.Name, Class: c.wish.Grade, Dispatcher: c.d.name}
	if more != nil {
		more(&l)
	}
	c.w.put(l)
}

// ask makes one try of a request.
func (w *world) ask(wish *standin.Wish, try int, ticket string) {
	var up []*dispatcher
	for _, d := range w.dispatchers {
		if d.front {
			up = append(up, d)
		}
	}
	if len(up) == 0 {
		up = w.dispatchers
	}
	d := up[(uint64(wish.At)+uint64(try)*7919)*0x9e3779b97f4a7c15>>33%uint64(len(up))]
	c := &client{w: w, wish: wish, try: try, id: fmt.Sprintf("%s.%d", wish.Name, try), d: d}
	left := time.Duration(float64(wish.Expiry) * wish.Patience)
	follows := ""
	if wish.Honours {
		follows = "follows"
	}
	c.put(record.RequestSent, follows, func(l *record.Event) {
		l.DeadlineUs, l.LatencyTargetUs, l.Tokens = left.Microseconds(), wish.Promised.Microseconds(), wish.Tokens
	})
	if !d.up {
		c.cut("unreached: the dispatcher is down")
		return
	}
	if wish.Leaves > 0 {
		w.after(wish.Leaves, func() {
			if !c.over {
				c.over = true
				c.put(record.ClientLeft, "", nil)
				if d.up && d.open[c] {
					delete(d.open, c)
					delete(d.of, c.asked)
					d.do(func() { d.loop.Left(c.asked) })
				}
			}
		})
	}
	d.open[c] = true
	c.asked = &dispatch.ClientRequest{Ask: kserve.Ask{ID: c.id, Session: wish.Session, Shared: wish.Shared, Tokens: wish.Tokens, Prefix: wish.Prefix, Most: wish.Most,
		Again: try > 0, Ticket: ticket}, Grade: wish.Grade, Channel: wish.Channel}
	d.of[c.asked] = c
	c.asked.Tell = func(f kserve.Final) { w.after(hop, func() { c.final(f) }) }
	grade, channel := w.day.GradeNumber(wish.Grade), max(w.day.ChannelNumber(wish.Channel), 0)
	w.after(hop, func() {
		if c.over && wish.Leaves == 0 || !d.open[c] {
			return
		}
		d.do(func() { d.loop.Submit(c.asked, grade, channel, left-2*hop) })
	})
}

func (c *client) final(f kserve.Final) {
	if c.over {
		return
	}
	c.over = true
	delete(c.d.open, c)
	delete(c.d.of, c.asked)
	c.put(record.FinalAnswer, f.Final, func(l *record.Event) { l.RetryAfterMs, l.Attempts = f.AfterMs, f.Trips })
	if f.Final != kserve.Satisfied && (f.Final == kserve.Declined || c.wish.Safe) {
		ticket := f.Ticket
		if !c.wish.Honours {
			ticket = ""
		}
		c.again(time.Duration(f.AfterMs)*time.Millisecond, ticket)
	}
}

func (c *client) cut(why string) {
	if c.over {
		return
	}
	c.over = true
	delete(c.d.open, c)
	c.put(record.ConnectionLost, why, nil)
	if strings.HasPrefix(why, "unreached") || c.wish.Safe {
		c.again(0, "")
	}
}

func (c *client) again(told time.Duration, ticket string) {
	if c.try < c.wish.Retries {
		c.w.after(c.wish.NextWait(c.try, told), func() { c.w.ask(c.wish, c.try+1, ticket) })
	}
}
