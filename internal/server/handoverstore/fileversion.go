package handoverstore

import (
	"os"
	"time"
)

// fileVersion identifies a file under a name, and what it held. The zero value is that no file has the name.
type fileVersion struct {
	inode      os.FileInfo
	size       int64
	modifiedAt time.Time
}

// equal reports whether two versions are of one file.
func (v fileVersion) equal(other fileVersion) bool {
	if v.inode == nil || other.inode == nil {
		return v.inode == nil && other.inode == nil
	}
	return os.SameFile(v.inode, other.inode) && v.size == other.size && v.modifiedAt.Equal(other.modifiedAt)
}
