// Command fleet sums the usage of shared resources by a fleet of brokers from their logs. Each broker writes a line
// `fleet usage` every 5 s and at its end; the command adds up these lines over all logs of a directory, which has one
// file for each broker. It also reads logs of earlier versions, whose line was `costs`. Each printed line is a name, a
// value and a unit: first the counts of the day, then each count per accepted request, as the settings price them.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"wheatlane/internal/usage"
)

// maxLineBytes is the length limit of a log line. A log with a longer line is read up to that line.
const maxLineBytes = 1 << 20

// earlierMessage is the message of the usage line in earlier versions.
const earlierMessage = "costs"

// earlierFieldNames are the names of the counters in that line, in the order of usage.FieldNames.
var earlierFieldNames = [len(usage.FieldNames)]string{
	"taken", "first", "further", "refused", "probes", "doubts", "dials", "polls", "tells",
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: fleet LOGDIR")
		os.Exit(2)
	}
	total, brokers, err := sumDirectory(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
	printCounters(total, brokers)
}

func printCounters(total usage.Counters, brokers int) {
	fmt.Printf("brokers %d count\n", brokers)
	for _, name := range usage.FieldNames {
		count, _ := total.Count(name)
		fmt.Printf("%s %d count\n", name, count)
	}
	for _, name := range usage.FieldNames[1:] { // the first name is the requests themselves
		count, _ := total.Count(name)
		fmt.Printf("%s_per_request %.3f ratio\n", name, usage.PerRequest(count, total.Requests))
	}
}

// sumDirectory adds up all logs of a directory. It returns the total and the number of logs that have counters.
func sumDirectory(dir string) (total usage.Counters, brokers int, err error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return total, 0, err
	}
	if len(paths) == 0 {
		return total, 0, fmt.Errorf("no .log files in directory %s", dir)
	}
	for _, path := range paths {
		counters, lines, err := sumFile(path)
		if err != nil {
			return total, 0, fmt.Errorf("%s: %w", path, err)
		}
		if lines > 0 {
			brokers++
		}
		total = total.Add(counters)
	}
	return total, brokers, nil
}

func sumFile(path string) (total usage.Counters, lines int, err error) {
	f, err := os.Open(path)
	if err != nil {
		return total, 0, err
	}
	defer func() { _ = f.Close() }() // the file is open for reading only
	return sumLog(f)
}

// sumLog adds up the counters of one log. It returns the total and the number of lines that have counters.
func sumLog(log io.Reader) (total usage.Counters, lines int, err error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if counters, ok := parseLine(scanner.Bytes()); ok {
			lines++
			total = total.Add(counters)
		}
	}
	if err := scanner.Err(); err != nil && !errors.Is(err, bufio.ErrTooLong) {
		return total, lines, err
	}
	return total, lines, nil
}

// parseLine returns the counters of a log line, and whether the line has counters. The bench writes a time before the
// JSON of each line.
func parseLine(line []byte) (counters usage.Counters, ok bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return counters, false
	}
	var fields map[string]any
	if json.Unmarshal(line[start:], &fields) != nil {
		return counters, false
	}
	var names [len(usage.FieldNames)]string
	switch fields["msg"] {
	case usage.LogMessage:
		names = usage.FieldNames
	case earlierMessage:
		names = earlierFieldNames
	default:
		return counters, false
	}
	for i, name := range names {
		if count, ok := fields[name].(float64); ok {
			counters.Set(usage.FieldNames[i], uint64(count))
		}
	}
	return counters, true
}
