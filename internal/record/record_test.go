package record

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A record that is truncated or is no JSON is reported by file and line, and the events before that line are returned.
func TestReadNamesTheLineOfAMalformedEvent(t *testing.T) {
	good := `{"at":1,"what":"note"}` + "\n"
	for name, c := range map[string]struct {
		content string
		valid   int
	}{
		"cut off":   {good + `{"at":2,"wh`, 1},
		"no JSON":   {good + good + "what?\n", 2},
		"oversized": {good + `{"what":"` + strings.Repeat("x", 2<<20) + `"}` + "\n", 1},
	} {
		dir := t.TempDir()
		os.WriteFile(filepath.Join(dir, headerFile), []byte(`{}`), 0o600)
		os.WriteFile(filepath.Join(dir, eventsFile), []byte(c.content), 0o600)
		_, events, err := Read(dir)
		prefix := filepath.Join(dir, eventsFile) + ":" + string(rune('1'+c.valid)) + ": "
		if err == nil || !strings.HasPrefix(err.Error(), prefix) || len(events) != c.valid {
			t.Errorf("%s: %d events, %v", name, len(events), err)
		}
	}
}
