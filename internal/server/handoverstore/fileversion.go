package handoverstore

import (
	"os"
	"time"
)

// fileVersion identifies a version of the hand-over file. The zero value means that the file does not exist.
type fileVersion struct {
	inode      os.FileInfo
	size       int64
	modifiedAt time.Time
}

// equal reports whether two versions are of the same, unmodified file, or both of no file.
func (v fileVersion) equal(other fileVersion) bool {
	if v.inode == nil || other.inode == nil {
		return v.inode == nil && other.inode == nil
	}
	return os.SameFile(v.inode, other.inode) && v.size == other.size && v.modifiedAt.Equal(other.modifiedAt)
}
