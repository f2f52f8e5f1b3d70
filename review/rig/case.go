package rig

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Case holds what every case needs: the record, a temporary folder, and the processes that it started.
type Case struct {
	*Record
	Root    string
	Dir     string // temporary folder
	Trouble bool   // false with TROUBLE=0

	mu        sync.Mutex
	processes []*Process
}

// NewCase opens the record in the folder that the first argument names.
func NewCase() *Case {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER")
		os.Exit(2)
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0"}
	var err error
	if c.Record, err = NewRecord(filepath.Join(os.Args[1], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if c.Root, err = Root(); err == nil {
		c.Dir, err = os.MkdirTemp("", "review")
	}
	c.Must(err)
	c.Add("trouble=%v seed=%d", c.Trouble, Seed())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		c.Add("could not run: ended by a signal")
		c.end(2)
	}()
	return c
}

// Must ends the case as one that could not run if there is an error.
func (c *Case) Must(err error) {
	if err != nil {
		c.Add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		c.end(2)
	}
}

// Check ends the case as one that could not run if the condition does not hold.
func (c *Case) Check(holds bool, what string) {
	if !holds {
		c.Must(fmt.Errorf("%s", what))
	}
}

// Finish ends the case: with 1 if the rule was broken.
func (c *Case) Finish(broken bool, format string, args ...any) {
	verdict := "the rule held: "
	code := 0
	if broken {
		verdict, code = "the rule was broken: ", 1
	}
	line := verdict + fmt.Sprintf(format, args...)
	c.Add("%s", line)
	fmt.Println(line)
	c.end(code)
}

func (c *Case) end(code int) {
	c.mu.Lock() // held to the end, so that no other goroutine ends the case again or starts a process
	for _, p := range c.processes {
		p.Kill()
	}
	c.Close()
	if c.Dir != "" {
		_ = os.RemoveAll(c.Dir)
	}
	os.Exit(code)
}

// StartBroker writes the configuration, starts a broker's process and waits until it answers COM_PING.
func (c *Case) StartBroker(cfg Config, tmp string) *Process {
	path := filepath.Join(c.Dir, fmt.Sprintf("config-%d.json", time.Now().UnixNano()))
	c.Must(cfg.Write(path))
	p := c.StartProcess(path, tmp)
	c.Must(WaitReady(cfg.Listen, 30*time.Second))
	c.Add("broker %s ready, process %d", cfg.Name, p.Cmd.Process.Pid)
	return p
}

// StartProcess starts a broker's process with a configuration.
func (c *Case) StartProcess(config, tmp string) *Process {
	c.Must(os.MkdirAll(tmp, 0o700))
	c.mu.Lock()
	p, err := Start(c.Root, config, tmp, config+".log")
	if err == nil {
		c.processes = append(c.processes, p)
	}
	c.mu.Unlock()
	c.Must(err)
	c.Add("started process %d by the deploy file's run", p.Cmd.Process.Pid)
	return p
}

// BrokerLog adds the lines of a process's log that contain one of the words to the record.
func (c *Case) BrokerLog(config string, words ...string) {
	text, _ := os.ReadFile(config + ".log")
	for _, line := range splitLines(string(text)) {
		for _, word := range words {
			if contains(line, word) {
				c.Add("log: %s", line)
				break
			}
		}
	}
}

func splitLines(text string) []string { return strings.Split(strings.TrimSpace(text), "\n") }

func contains(line, word string) bool { return strings.Contains(line, word) }
