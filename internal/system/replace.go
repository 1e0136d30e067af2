package system

import (
	"cmp"
	"os"
	"path/filepath"
)

// newSuffix is what the name of a file has while it is being written.
const tempSuffix = ".new"

// Replace puts a file with new contents in the place of one. It is on the disk when Replace returns; a kill, a full disk or one that
// fails leaves the old one as it was.
func ReplaceFile(path string, raw []byte, mode os.FileMode) error {
	written := path + tempSuffix
	if err := writeAndSync(written, raw, mode); err != nil {
		os.Remove(written)
		return err
	}
	if err := os.Rename(written, path); err != nil {
		os.Remove(written)
		return err
	}
	return syncDir(filepath.Dir(path))
}

// writeSynced writes a file and has it on the disk.
func writeAndSync(path string, raw []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, mode)
	if err != nil {
		return err
	}
	if _, err = file.Write(raw); err == nil {
		err = file.Sync()
	}
	return cmp.Or(err, file.Close())
}

// syncFolder has a folder's names on the disk.
func syncDir(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
