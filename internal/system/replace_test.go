package system

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// A file is replaced whole or not at all: a disk that is full leaves the old one, and nothing half.
func TestAFileIsReplacedWholeOrNotAtAll(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.json")
	if err := ReplaceFile(path, []byte("old"), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.Symlink("/dev/full", path+tempSuffix); err != nil {
		t.Fatal(err)
	}
	if err := ReplaceFile(path, []byte("new"), 0o644); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("%v", err)
	}
	if raw, _ := os.ReadFile(path); string(raw) != "old" {
		t.Errorf("it has %q", raw)
	}
	if err := ReplaceFile(path, []byte("new"), 0o644); err != nil {
		t.Errorf("the next try: %v", err)
	}
	if raw, _ := os.ReadFile(path); string(raw) != "new" {
		t.Errorf("it has %q", raw)
	}
	if names, _ := os.ReadDir(filepath.Dir(path)); len(names) != 1 {
		t.Errorf("left behind: %v", names)
	}
}

func TestAFolderThatIsGoneIsAnError(t *testing.T) {
	if err := ReplaceFile(filepath.Join(t.TempDir(), "gone", "list.json"), nil, 0o644); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("%v", err)
	}
}
