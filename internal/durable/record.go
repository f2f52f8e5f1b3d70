package durable

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// The layout of a generation file: a header of magic and format version, then records, each with its length
// and checksum ahead of it. Numbers are big-endian.
const (
	magic         = "wlanlog1"
	formatVersion = 1

	headerBytes     = len(magic) + 4
	recordHeadBytes = 8        // length and checksum
	maxResyncBytes  = 64 << 10 // how far a valid record is searched for behind a damaged one
)

// MaxRecordBytes is the largest record or snapshot, in bytes.
const MaxRecordBytes = 16 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// decodeGeneration reads the records of a generation file. damage says what is wrong with the file, empty if
// nothing is; a truncated last record is no damage, as it was never confirmed.
func decodeGeneration(file []byte) (records [][]byte, damage string, err error) {
	if len(file) < headerBytes || string(file[:len(magic)]) != magic {
		return nil, "it has no header of a store", nil
	}
	switch v := binary.BigEndian.Uint32(file[len(magic):]); {
	case v > formatVersion:
		return nil, "", fmt.Errorf("%w: %d, this is %d", ErrNewerVersion, v, formatVersion)
	case v < 1:
		return nil, "its format version is invalid", nil
	}
	for offset := headerBytes; offset < len(file); {
		record, ok := decodeRecord(file[offset:])
		if !ok {
			// A write that a crash interrupted is at the end of the file; a record behind it was
			// confirmed.
			if containsRecord(file[offset+1:]) {
				damage = fmt.Sprintf(
					"record %d is damaged; %d bytes are not read",
					len(records),
					len(file)-offset,
				)
			}
			return records, damage, nil
		}
		records = append(records, record)
		offset += recordHeadBytes + len(record)
	}
	return records, "", nil
}

// decodeRecord reads the record at the start of b, if a complete and valid one is there.
func decodeRecord(b []byte) ([]byte, bool) {
	if len(b) < recordHeadBytes {
		return nil, false
	}
	n := int(binary.BigEndian.Uint32(b))
	if n > MaxRecordBytes || n > len(b)-recordHeadBytes {
		return nil, false
	}
	record := b[recordHeadBytes : recordHeadBytes+n]
	return record, checksum(b[:4], record) == binary.BigEndian.Uint32(b[4:])
}

// containsRecord reports whether a valid record begins anywhere within the first maxResyncBytes of b.
func containsRecord(b []byte) bool {
	for i := range min(len(b), maxResyncBytes) {
		if _, ok := decodeRecord(b[i:]); ok {
			return true
		}
	}
	return false
}

// checksum covers a record and its length: zeros, which a file system may leave behind, would otherwise be
// valid empty records.
func checksum(length, record []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, record)
}

// appendRecord appends a record with its length and checksum to dst.
func appendRecord(dst, record []byte) []byte {
	start := len(dst)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(record)))
	dst = binary.BigEndian.AppendUint32(dst, checksum(dst[start:start+4], record))
	return append(dst, record...)
}

// encodeGeneration returns the content of a new generation file.
func encodeGeneration(snapshot []byte, records [][]byte) []byte {
	file := binary.BigEndian.AppendUint32([]byte(magic), formatVersion)
	file = appendRecord(file, snapshot)
	for _, record := range records {
		file = appendRecord(file, record)
	}
	return file
}
