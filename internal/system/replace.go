package system

import (
	"cmp"
	"os"
	"path/filepath"
)

// tempSuffix is appended to a file's name while the new file is being written.
const tempSuffix = ".new"

// ReplaceFile replaces a file by one with the given contents. When it returns nil the new file has been synced to disk;
// if the process is killed, or the disk is full or fails, the old file stays as it was.
func ReplaceFile(path string, contents []byte, mode os.FileMode) error {
	temp := path + tempSuffix
	if err := writeAndSync(temp, contents, mode); err != nil {
		os.Remove(temp)
		return err
	}
	if err := os.Rename(temp, path); err != nil {
		os.Remove(temp)
		return err
	}
	return syncDir(filepath.Dir(path))
}

// writeAndSync writes a file and syncs it to disk.
func writeAndSync(path string, contents []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, mode)
	if err != nil {
		return err
	}
	if _, err = file.Write(contents); err == nil {
		err = file.Sync()
	}
	return cmp.Or(err, file.Close())
}

// syncDir syncs a directory's entries to disk.
func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}
