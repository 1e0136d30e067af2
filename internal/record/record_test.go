package record

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A record that was cut off, or is none, is named by file and line; what stands before that is read.
func TestALineThatIsNoneIsNamed(t *testing.T) {
	good := `{"at":1,"what":"note"}` + "\n"
	for name, c := range map[string]struct {
		lines string
		read  int
	}{
		"cut off":   {good + `{"at":2,"wh`, 1},
		"no JSON":   {good + good + "what?\n", 2},
		"oversized": {good + `{"what":"` + strings.Repeat("x", 2<<20) + `"}` + "\n", 1},
	} {
		dir := t.TempDir()
		os.WriteFile(filepath.Join(dir, headFile), []byte(`{}`), 0o600)
		os.WriteFile(filepath.Join(dir, linesFile), []byte(c.lines), 0o600)
		_, lines, err := Read(dir)
		at := filepath.Join(dir, linesFile) + ":" + string(rune('1'+c.read)) + ": "
		if err == nil || !strings.HasPrefix(err.Error(), at) || len(lines) != c.read {
			t.Errorf("%s: %d lines, %v", name, len(lines), err)
		}
	}
}
