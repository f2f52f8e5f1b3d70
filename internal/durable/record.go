package durable

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// The layout of a generation file: a header of magic and format version, then records, each preceded by its
// length and checksum. Numbers are big-endian.
const (
	magic         = "wlanlog1"
	formatVersion = 1

	headerBytes       = len(magic) + 4
	recordHeaderBytes = 8        // length and checksum
	maxResyncBytes    = 64 << 10 // range after a damaged record that is searched for a valid one
)

// MaxRecordBytes is the maximum size of a record or snapshot.
const MaxRecordBytes = 16 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// decodeGeneration returns the records of a generation file. damage describes corruption of the file and is empty
// if there is none; a truncated last record does not count, as it was never confirmed.
func decodeGeneration(file []byte) (records [][]byte, damage string, err error) {
	if len(file) < headerBytes || string(file[:len(magic)]) != magic {
		return nil, "the file header is missing or corrupt", nil
	}
	switch v := binary.BigEndian.Uint32(file[len(magic):]); {
	case v > formatVersion:
		return nil, "", fmt.Errorf("%w: format version %d, supported up to %d", ErrNewerVersion, v, formatVersion)
	case v < 1:
		return nil, fmt.Sprintf("the format version %d is invalid", v), nil
	}
	for offset := headerBytes; offset < len(file); {
		record, ok := decodeRecord(file[offset:])
		if !ok {
			// Only the last write can have been interrupted by a crash. A valid record after this one shows
			// that this one was confirmed and is damaged.
			if containsRecord(file[offset+1:]) {
				damage = fmt.Sprintf(
					"record %d is damaged; %d bytes were skipped",
					len(records),
					len(file)-offset,
				)
			}
			return records, damage, nil
		}
		records = append(records, record)
		offset += recordHeaderBytes + len(record)
	}
	return records, "", nil
}

// decodeRecord returns the record at the start of b, and reports whether it is complete and valid.
func decodeRecord(b []byte) ([]byte, bool) {
	if len(b) < recordHeaderBytes {
		return nil, false
	}
	n := int(binary.BigEndian.Uint32(b))
	if n > MaxRecordBytes || n > len(b)-recordHeaderBytes {
		return nil, false
	}
	record := b[recordHeaderBytes : recordHeaderBytes+n]
	return record, checksum(b[:4], record) == binary.BigEndian.Uint32(b[4:])
}

// containsRecord reports whether a valid record starts within the first maxResyncBytes of b.
func containsRecord(b []byte) bool {
	for i := range min(len(b), maxResyncBytes) {
		if _, ok := decodeRecord(b[i:]); ok {
			return true
		}
	}
	return false
}

// checksum returns the CRC-32C of a record and its encoded length. It covers the length because trailing zeros,
// which a file system may leave after a crash, would otherwise be valid empty records.
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
