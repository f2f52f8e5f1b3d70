package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func fatal(err any) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	stopAll()
	os.Exit(2)
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(folder string) *record {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fatal(err)
	}
	return &record{file: file, start: time.Now()}
}

func (r *record) linef(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line into the record and to the output.
func (r *record) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.linef(time.Now(), format, args...)
}

// class is one entry of RequestClasses, with what Domain holds for it.
type class struct {
	name                    string
	promise, giveUp, window time.Duration
	effect                  string
	ordered                 bool
	late, worth, stretch    float64
	threads                 int
	load, yields            bool
}

// usualClasses are those of the chart service, with the figures of its brief.
func usualClasses() []class {
	return []class{
		{name: "lookup", promise: 400 * time.Millisecond, giveUp: 2 * time.Second, window: 5 * time.Second,
			effect: "repeatable", worth: 1, stretch: 1.5, threads: 1, yields: true},
		{name: "route-report", promise: 2 * time.Second, giveUp: 20 * time.Second, window: 5 * time.Second,
			effect: "repeatable", late: 0.4, worth: 15, stretch: 2.5, threads: 4},
		{name: "survey-load", promise: 3 * time.Second, giveUp: 25 * time.Second, window: 15 * time.Second,
			effect: "by_key", ordered: true, late: 0.6, worth: 20, stretch: 3, threads: 2, load: true},
	}
}

// settings returns the settings of a small deployment.
func settings(classes []class, brokers int) map[string]any {
	var list []map[string]any
	var loads, yields []bool
	var threads []int
	for _, c := range classes {
		entry := map[string]any{
			"Name": c.name, "Effect": c.effect, "KeyScope": "all", "PromiseNs": c.promise, "GiveUpNs": c.giveUp,
			"WindowNs": c.window, "LateWorth": c.late, "Worth": c.worth, "AimStretch": c.stretch, "Stream": false,
		}
		if c.ordered {
			entry["ByArrival"] = true
		}
		list = append(list, entry)
		loads, yields, threads = append(loads, c.load), append(yields, c.yields), append(threads, c.threads)
	}
	return map[string]any{
		"Clients": map[string]any{"MarksRetry": true}, "Discovery": "pushed", "Family": "queries",
		"Domain": map[string]any{
			"ClassLoad": loads, "YieldsToLoads": yields, "WidthByClass": threads, "GrantCap": 0.4, "Grants": true,
			"KindMemoryMb": []float64{16384}, "SizeCores": []int{8}, "OnShortage": "swap", "Priorities": true,
			"ProgressPaceNs": 0, "SaysCost": true,
		},
		"Limits": map[string]any{
			"Cancel": true, "ConnIdleNs": 30 * time.Second, "ConnectTimeoutNs": 250 * time.Millisecond,
			"CpuUsPerRequest": 0, "CpuUsPerS": 96544, "MaxAttempts": 4, "MaxOpen": 24136,
			"MaxRetryAfterNs": 500 * time.Millisecond, "MaxStreams": 100, "ParallelTries": true, "Peers": false,
			"Probing": true, "RetryAfter": true,
		},
		"MachineTypes": []string{"std-8core"}, "OverShareWorth": 0.1, "PeersTotal": brokers, "Position": 0,
		"RequestClasses": list, "RoundNs": 5 * time.Millisecond,
		"Rules": map[string]any{
			"AnswerSlackNs": 20 * time.Millisecond, "AskEveryNs": 10 * time.Second, "ColdFrom": 0.33,
			"DrainGraceNs": 500 * time.Millisecond, "FallMultiple": 2.5, "FallNs": time.Second, "KeyRestNs": 0,
			"WarmAfterNs": 15 * time.Second,
		},
		"Stats": map[string]any{"Fields": []string{"queue", "x1", "x0"}, "Source": "pull"},
		"Tenants": []map[string]any{
			{"Name": "fishing-fleet", "QuotaPerS": 33, "Share": 0.59},
			{"Name": "harbour-office", "QuotaPerS": 23, "Share": 0.41},
		},
		"Tier": 0, "Tiers": []string{"query-fleet"}, "ValueBy": "request", "WeightKind": "rough",
		"Zone": "dc", "Zones": []string{"dc"},
	}
}

// broker is a broker's process, or one of two of an upgrade.
type broker struct {
	name, listen, operator, config, tmp string
	settings                            map[string]any
	memoryMB, sockets                   int
	log                                 *changelog
	cmd                                 *exec.Cmd
	ended                               chan struct{}
}

var (
	running   []*broker
	runningMu sync.Mutex
)

func stopAll() {
	runningMu.Lock()
	defer runningMu.Unlock()
	for _, b := range running {
		b.signal(syscall.SIGCONT)
		b.signal(syscall.SIGKILL)
	}
	for _, b := range running {
		<-b.ended
	}
	running = nil
}

func freeAddr() string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	defer lis.Close()
	return lis.Addr().String()
}

// root is the folder of the repository.
func root() string {
	folder, err := filepath.Abs(".")
	if err != nil {
		fatal(err)
	}
	for {
		if _, err := os.Stat(filepath.Join(folder, "deploy", "balancer.toml")); err == nil {
			return folder
		}
		if folder == "/" {
			fatal("deploy/balancer.toml not found")
		}
		folder = filepath.Dir(folder)
	}
}

// runCommand returns the command `run` of the deploy file.
func runCommand() string {
	text, err := os.ReadFile(filepath.Join(root(), "deploy", "balancer.toml"))
	if err != nil {
		fatal(err)
	}
	found := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if found == nil {
		fatal("no run command in deploy/balancer.toml")
	}
	return string(found[1])
}

// write writes the configuration of the broker.
func (b *broker) write() {
	seed := strconv.FormatUint(uint64(time.Now().UnixNano()), 16)
	text, err := json.MarshalIndent(map[string]any{
		"name": b.name, "listen": b.listen, "seed": seed, "changelog": b.log.addr, "known": b.log.since(0),
		"limits": map[string]any{"cores": 1.0, "memory_mb": b.memoryMB, "sockets": b.sockets}, "settings": b.settings,
	}, "", " ")
	if err != nil {
		fatal(err)
	}
	if err := os.WriteFile(b.config, text, 0o600); err != nil {
		fatal(err)
	}
}

// start starts the process by the deploy file's command and waits until it has answered COM_PING with OK.
func (b *broker) start(rec *record) {
	b.write()
	b.cmd = exec.Command("/bin/sh", "-c", runCommand())
	b.cmd.Dir = root()
	b.cmd.Env = append(os.Environ(), "RELAY_NAME="+b.name, "RELAY_LISTEN="+b.listen, "RELAY_CONFIG="+b.config,
		"TMPDIR="+b.tmp, "RELAY_OPERATOR="+b.operator)
	logFile, err := os.Create(b.config + ".log")
	if err != nil {
		fatal(err)
	}
	b.cmd.Stdout, b.cmd.Stderr = logFile, logFile
	if err := b.cmd.Start(); err != nil {
		fatal(err)
	}
	b.ended = make(chan struct{})
	runningMu.Lock()
	running = append(running, b)
	runningMu.Unlock()
	rec.linef(time.Now(), "broker %s started, process %d", b.name, b.cmd.Process.Pid)
	go func() {
		err := b.cmd.Wait()
		logFile.Close()
		rec.linef(time.Now(), "broker %s, process %d: ended: %v", b.name, b.cmd.Process.Pid, err)
		close(b.ended)
	}()
}

func (b *broker) signal(s syscall.Signal) { _ = b.cmd.Process.Signal(s) }

func (b *broker) running() bool {
	select {
	case <-b.ended:
		return false
	default:
		return true
	}
}

// ready waits until the broker has answered COM_PING with OK.
func (b *broker) ready() {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s, err := connect(b.listen)
		if err != nil {
			continue
		}
		pong := s.ping()
		s.close()
		if pong.kind == "ok" {
			return
		}
	}
	fatal("the broker is not ready after 10 s")
}

// call makes one call at the operator's address and returns the reply.
func (b *broker) call(line string) string {
	conn, err := net.DialTimeout("tcp", b.operator, time.Second)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintln(conn, line)
	var out strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := conn.Read(buf)
		out.Write(buf[:n])
		if err != nil || !strings.HasPrefix(line, "vars") && strings.Contains(out.String(), "\n") {
			return strings.TrimSpace(out.String())
		}
	}
}

// memoryKB returns a figure of /proc/PID/smaps_rollup or of /proc/PID/status.
func (b *broker) memoryKB(field string) int {
	for _, name := range []string{"smaps_rollup", "status"} {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/%s", b.cmd.Process.Pid, name))
		for _, line := range strings.Split(string(text), "\n") {
			if rest, ok := strings.CutPrefix(line, field+":"); ok {
				kb, _ := strconv.Atoi(strings.Fields(rest)[0])
				return kb
			}
		}
	}
	return 0
}
