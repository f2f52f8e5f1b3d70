// Package handover carries what a broker must not lose when an upgrade replaces its process: the engines in
// maintenance mode. The old process writes the state to a file in $TMPDIR under another name and renames it,
// so that a reader finds either the earlier file or the complete new one. The new process reads it at its
// start and starts without it when the file is corrupt, of another broker or of another format version.
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

// formatVersion is the version of the file format; a reader accepts no other.
const formatVersion = 1

// State is what one process hands over to the next.
type State struct {
	Broker             string   // the broker's name; the file of another broker is not used
	MaintenanceEngines []string // ids of the engines in maintenance mode, sorted
}

// Errors of a file that is not used.
var (
	ErrNotFound = errors.New("handover: no file")
	ErrCorrupt  = errors.New("handover: corrupt file")
	ErrStale    = errors.New("handover: file of another broker or format version")
)

// document is the JSON form of a State.
type document struct {
	Version            int      `json:"version"`
	Broker             string   `json:"broker"`
	MaintenanceEngines []string `json:"bans"`
}

// Encode is the content of a file: a line with the checksum of what follows, then the state as JSON.
func Encode(s State) []byte {
	body, _ := json.Marshal(document{ // a document holds strings and a number only, which can always be encoded
		Version: formatVersion, Broker: s.Broker, MaintenanceEngines: s.MaintenanceEngines,
	})
	content := strconv.AppendUint(nil, uint64(checksum(body)), 16)
	return append(append(content, '\n'), body...)
}

// Decode reads what Encode wrote for the broker of that name. Its error is ErrCorrupt or ErrStale.
func Decode(content []byte, broker string) (State, error) {
	firstLine, body, found := strings.Cut(string(content), "\n")
	sum, err := strconv.ParseUint(firstLine, 16, 32)
	if !found || err != nil || uint32(sum) != checksum([]byte(body)) {
		return State{}, ErrCorrupt
	}
	var d document
	if err := json.Unmarshal([]byte(body), &d); err != nil {
		return State{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if d.Version != formatVersion || d.Broker != broker {
		return State{}, fmt.Errorf("%w: version %d of %q", ErrStale, d.Version, d.Broker)
	}
	engines := slices.Sorted(slices.Values(d.MaintenanceEngines))
	return State{Broker: d.Broker, MaintenanceEngines: slices.Compact(engines)}, nil
}

// checksum is the CRC-32C of a file's JSON.
func checksum(body []byte) uint32 { return crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)) }
