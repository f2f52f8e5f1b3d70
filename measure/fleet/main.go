// Command fleet counts what a fleet of brokers spent of what they share, from their logs: the lines costs that each
// broker writes every 5 s and at its end, summed over every file of a folder, one broker's log a file. It prints
// name value unit lines: the counts of the day, and each over the requests taken, as the settings price them.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"wheatlane/internal/usage"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: fleet LOGDIR")
		os.Exit(2)
	}
	all, brokers, err := sum(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
	fmt.Printf("brokers %d count\n", brokers)
	for _, name := range usage.FieldNames {
		n, _ := all.Count(name)
		fmt.Printf("%s %d count\n", name, n)
	}
	for _, name := range usage.FieldNames[1:] {
		n, _ := all.Count(name)
		fmt.Printf("%s_per_request %.3f ratio\n", name, usage.PerRequest(n, all.Requests))
	}
}

// sum adds up the lines costs of all logs in a folder; brokers is the number of logs that have any.
func sum(dir string) (all usage.Counters, brokers int, err error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return all, 0, err
	}
	if len(files) == 0 {
		return all, 0, fmt.Errorf("%s: no .log files", dir)
	}
	for _, f := range files {
		b, lines, err := read(f)
		if err != nil {
			return all, 0, err
		}
		if lines > 0 {
			brokers++
		}
		all = all.Add(b)
	}
	return all, brokers, nil
}

// read sums the lines costs of one log. A line may have a time ahead of its JSON, as the bench writes them.
func read(path string) (b usage.Counters, lines int, err error) {
	f, err := os.Open(path)
	if err != nil {
		return b, 0, err
	}
	defer f.Close()
	s := bufio.NewScanner(f)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		at := bytes.IndexByte(s.Bytes(), '{')
		if at < 0 {
			continue
		}
		var line map[string]any
		if json.Unmarshal(s.Bytes()[at:], &line) != nil || line["msg"] != "costs" {
			continue
		}
		lines++
		var one usage.Counters
		for _, name := range usage.FieldNames {
			if v, ok := line[name].(float64); ok {
				one.Set(name, uint64(v))
			}
		}
		b = b.Add(one)
	}
	if err := s.Err(); err != nil && !errors.Is(err, bufio.ErrTooLong) {
		return b, lines, fmt.Errorf("%s: %w", path, err)
	}
	return b, lines, nil
}
