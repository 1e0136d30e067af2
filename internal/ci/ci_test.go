// Package ci tests the scripts by which landings are checked.
package ci

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const tests = "TestA\nTestB\nTestC\nTestD\nok  \tpackage\t0.01s\n"

// Only tests that are listed are passed over; a list that is too long, torn or names no test fails the run.
func TestKnownRed(t *testing.T) {
	for name, c := range map[string]struct {
		list, skip string
		fails      bool
	}{
		"none":             {"", "", false},
		"a remark":         {"# nothing\n\n", "", false},
		"one":              {"TestA: a cause (issue 3)\n", "^(TestA)$", false},
		"three":            {"TestA: a (issue 3)\nTestB: b (issue 4)\nTestC: c (issue 5)\n", "^(TestA|TestB|TestC)$", false},
		"four":             {"TestA: a (issue 3)\nTestB: b (issue 4)\nTestC: c (issue 5)\nTestD: d (issue 6)\n", "", true},
		"no such test":     {"TestE: a cause (issue 3)\n", "", true},
		"part of a name":   {"Test: a cause (issue 3)\n", "", true},
		"a pattern":        {"Test.*: a cause (issue 3)\n", "", true},
		"no cause":         {"TestA: (issue 3)\n", "", true},
		"no issue":         {"TestA: a cause\n", "", true},
		"no newline after": {"TestA: a cause (issue 3)\nTestE: b (issue 4)", "", true},
	} {
		file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
		if err := os.WriteFile(file, []byte(c.list), 0o600); err != nil {
			t.Fatal(err)
		}
		var out, said bytes.Buffer
		cmd := exec.Command("bash", "../../.ci/known-red", file)
		cmd.Stdin, cmd.Stdout, cmd.Stderr = strings.NewReader(tests), &out, &said
		err := cmd.Run()
		if (err != nil) != c.fails || err == nil && strings.TrimSpace(out.String()) != c.skip {
			t.Errorf("%s: %q, %v, said %q", name, out.String(), err, said.String())
		}
		if c.skip != "" && strings.Count(said.String(), "known red") != strings.Count(c.list, "issue") {
			t.Errorf("%s: not all are printed: %q", name, said.String())
		}
	}
}
