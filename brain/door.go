package brain

import "time"

// Door is how the module acts. Whoever hosts it turns ids into hosts, questions and trips and back.
type Door interface {
	Now() time.Duration
	Send(t *Trip, wait time.Duration)
	Cancel(t *Trip)
	Release(q *Question)
	Decline(q *Question, after time.Duration)
	Forfeit(q *Question)
	Wake(after time.Duration, do func())
	Watch(on bool)
	Tell(peer int, n News)
	Note(text string)
}
