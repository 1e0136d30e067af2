package endpoints

import (
	"time"

	"sloetrestle/internal/endpointlist"
)

// withdrawalMemory is how long a backend that was taken out of service stays out against lists with older revisions. A
// change of discovery may be some seconds late at another address; beyond that its revisions have begun anew.
const withdrawalMemory = 30 * time.Second

// withdrawal says when and by which revision a backend was taken out of service.
type withdrawal struct {
	revision int64
	at       time.Duration
	state    string // draining or removed
}

// withdrawals remembers which backends discovery has taken out of service, so that a list from before that does not bring
// them back. The zero value is ready to use.
type withdrawals struct {
	inService map[string]bool       // backends that the applied lists have in service
	withdrawn map[string]withdrawal // backends that were taken out of service
}

// observe records the state of a backend in a message, and returns the state that holds for it: that of the message, unless
// the backend was taken out of service by a newer one. forgetOld must have been called for the message.
func (w *withdrawals) observe(name, state string, revision int64, now time.Duration) string {
	if w.withdrawn == nil {
		w.inService, w.withdrawn = map[string]bool{}, map[string]withdrawal{}
	}
	earlier, known := w.withdrawn[name]
	if known && revision < earlier.revision {
		if state == endpointlist.Ready {
			return earlier.state
		}
		return state
	}
	if state == endpointlist.Ready {
		delete(w.withdrawn, name)
		w.inService[name] = true
		return state
	}
	w.withdraw(name, withdrawal{revision, now, state})
	return state
}

// withdraw records that a backend was taken out of service.
func (w *withdrawals) withdraw(name string, taken withdrawal) {
	delete(w.inService, name)
	w.withdrawn[name] = taken
}

// forgetOld forgets the backends that were taken out of service long ago.
func (w *withdrawals) forgetOld(now time.Duration) {
	for name, earlier := range w.withdrawn {
		if now-earlier.at >= withdrawalMemory {
			delete(w.withdrawn, name)
		}
	}
}

// observeFull records that a full list names no other backends than the given ones.
func (w *withdrawals) observeFull(named map[string]bool, revision int64, now time.Duration) {
	for name := range w.inService {
		if !named[name] {
			w.withdraw(name, withdrawal{revision, now, endpointlist.Removed})
		}
	}
}
