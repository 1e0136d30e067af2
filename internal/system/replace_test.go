package system

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// A file is replaced whole or not at all: if the disk is full, the old file stays and nothing is left behind.
func TestReplaceFileIsAtomic(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.json")
	if err := ReplaceFile(path, []byte("old"), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.Symlink("/dev/full", path+tempSuffix); err != nil {
		t.Fatal(err)
	}
	if err := ReplaceFile(path, []byte("new"), 0o644); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("on a full disk: %v, want ENOSPC", err)
	}
	if raw, _ := os.ReadFile(path); string(raw) != "old" {
		t.Errorf("the file holds %q", raw)
	}
	if err := ReplaceFile(path, []byte("new"), 0o644); err != nil {
		t.Errorf("the next attempt: %v", err)
	}
	if raw, _ := os.ReadFile(path); string(raw) != "new" {
		t.Errorf("the file holds %q", raw)
	}
	if names, _ := os.ReadDir(filepath.Dir(path)); len(names) != 1 {
		t.Errorf("left behind: %v", names)
	}
}

func TestReplaceFileInMissingDirectoryFails(t *testing.T) {
	if err := ReplaceFile(filepath.Join(t.TempDir(), "gone", "list.json"), nil, 0o644); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("%v, want ErrNotExist", err)
	}
}
