package endpointlist

import (
	"log/slog"
	"time"

	"sloetrestle/internal/system"
)

// lastSaveTimeout is how long the end of a follower waits for the last list to be saved.
const lastSaveTimeout = time.Second

// saver saves lists to disk beside the watch, which a slow disk would hold up otherwise. A list that waits while a newer
// one comes is not saved.
type saver struct {
	path    string
	log     *slog.Logger
	waiting chan []byte // at most one list
	ended   chan struct{}
}

// startSaver starts a saver. Only one goroutine may call save and stop.
func startSaver(path string, log *slog.Logger) *saver {
	s := &saver{path: path, log: log, waiting: make(chan []byte, 1), ended: make(chan struct{})}
	go s.run()
	return s
}

// run saves lists until stop is called. A file is replaced atomically: if the process is killed, it holds either the old
// list or the new one.
func (s *saver) run() {
	defer close(s.ended)
	for raw := range s.waiting {
		if err := system.ReplaceFile(s.path, raw, 0o644); err != nil {
			s.log.Warn("failed to save the endpoint list", "error", err)
		}
	}
}

// save has a list saved.
func (s *saver) save(raw []byte) {
	select {
	case <-s.waiting:
	default:
	}
	s.waiting <- raw
}

// stop waits until the last list is saved, for at most lastSaveTimeout.
func (s *saver) stop() {
	close(s.waiting)
	select {
	case <-s.ended:
	case <-time.After(lastSaveTimeout):
		s.log.Warn("the last endpoint list is not saved yet", "after", lastSaveTimeout)
	}
}
