// Package handover reads and writes the file by which a broker process hands the list of engines in maintenance mode
// over to the next process. The file is written under a temporary name and renamed, so that a reader finds either the
// previous file or the complete new one. A file that is corrupt, of another broker or of another format version is
// rejected.
package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"
)

// formatVersion is the version of the file format. Decode accepts no other version.
const formatVersion = 1

// State is the state that one process hands over to the next.
type State struct {
	Broker             string   // name of the broker; the file of another broker is rejected
	MaintenanceEngines []string // ids of the engines in maintenance mode, sorted
}

// Errors of a file that cannot be used.
var (
	ErrNotFound = errors.New("handover: no file")
	ErrCorrupt  = errors.New("handover: corrupt file")
	ErrMismatch = errors.New("handover: file of another broker or format version")
)

// document is the JSON form of a State.
type document struct {
	Version            int      `json:"version"`
	Broker             string   `json:"broker"`
	MaintenanceEngines []string `json:"bans"`
}

// Encode returns the content of a file: a line with the checksum of the remaining bytes, then the state as JSON.
func Encode(state State) []byte {
	body, _ := json.Marshal(document{ // cannot fail, as a document holds only strings and a number
		Version: formatVersion, Broker: state.Broker, MaintenanceEngines: state.MaintenanceEngines,
	})
	content := strconv.AppendUint(nil, uint64(checksum(body)), 16)
	return append(append(content, '\n'), body...)
}

// Decode parses content that Encode created for the named broker. Its error wraps ErrCorrupt or ErrMismatch.
func Decode(content []byte, broker string) (State, error) {
	firstLine, body, found := strings.Cut(string(content), "\n")
	sum, err := strconv.ParseUint(firstLine, 16, 32)
	if !found || err != nil || uint32(sum) != checksum([]byte(body)) {
		return State{}, ErrCorrupt
	}
	var stored document
	if err := json.Unmarshal([]byte(body), &stored); err != nil {
		return State{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if stored.Version != formatVersion || stored.Broker != broker {
		return State{}, fmt.Errorf("%w: version %d of %q", ErrMismatch, stored.Version, stored.Broker)
	}
	engines := slices.Sorted(slices.Values(stored.MaintenanceEngines))
	return State{Broker: stored.Broker, MaintenanceEngines: slices.Compact(engines)}, nil
}

// checksum returns the CRC-32C of a file's JSON.
func checksum(body []byte) uint32 { return crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)) }
