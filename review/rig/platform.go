package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Root returns the root of the repository: the folder above with the deploy file.
func Root() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "balancer.toml")); err == nil {
			return dir, nil
		}
		if dir == filepath.Dir(dir) {
			return "", errors.New("no deploy/balancer.toml above this folder")
		}
		dir = filepath.Dir(dir)
	}
}

// RunCommand returns the command 'run' of the deploy file.
func RunCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	if found == nil {
		return "", errors.New("the deploy file has no run")
	}
	return string(found[1]), nil
}

// FreePort returns an address on loopback that nobody listens at.
func FreePort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Config is a broker's configuration.
type Config struct {
	Name, Listen, Operator, Changelog string
	MemoryMB, Sockets                 int
	Known                             Page
	Settings                          map[string]any
}

// Write writes the file as the deploy page has it.
func (c Config) Write(path string) error {
	text, err := json.MarshalIndent(map[string]any{
		"name": c.Name, "listen": c.Listen, "seed": Hex(16), "operator": c.Operator,
		"limits":    map[string]any{"cores": 1.0, "memory_mb": c.MemoryMB, "sockets": c.Sockets},
		"changelog": c.Changelog, "known": c.Known, "settings": c.Settings,
	}, "", " ")
	if err != nil {
		return err
	}
	next := path + ".new"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// Process is a process of a broker.
type Process struct {
	Cmd    *exec.Cmd
	Exited chan struct{}
	Err    error
}

// Start starts a broker by the deploy file's command, from the root.
func Start(root, config, tmp, logPath string, env ...string) (*Process, error) {
	run, err := RunCommand(root)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir = root
	cmd.Env = append([]string{"RELAY_CONFIG=" + config, "TMPDIR=" + tmp, "PATH=" + os.Getenv("PATH")}, env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{Cmd: cmd, Exited: make(chan struct{})}
	go func() {
		p.Err = cmd.Wait()
		log.Close()
		close(p.Exited)
	}()
	return p, nil
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) { _ = p.Cmd.Process.Signal(s) }

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	_ = p.Cmd.Process.Kill()
	<-p.Exited
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.Exited:
		return false
	default:
		return true
	}
}

// WaitReady waits until COM_PING is answered with OK.
func WaitReady(addr string, within time.Duration) error {
	end := time.Now().Add(within)
	var last error
	for time.Now().Before(end) {
		c, err := Dial(addr, time.Second)
		if err == nil {
			_, _ = c.Write(Ping())
			answer, err := c.Read(time.Now().Add(time.Second))
			c.Close()
			if err == nil && answer.Code == 0 {
				return nil
			}
			last = fmt.Errorf("%v %v", answer, err)
		} else {
			last = err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("broker not ready: %w", last)
}

// Call makes one call at the second address.
func Call(addr, line string) (string, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintln(conn, line); err != nil {
		return "", err
	}
	buf := make([]byte, 64<<10)
	n, err := conn.Read(buf)
	return strings.TrimSpace(string(buf[:n])), err
}

// Settings returns the settings of a small deployment, as on the wire page, for the given number of brokers.
func Settings(brokers int) map[string]any {
	const text = `{"Clients": {"MarksRetry": true}, "Discovery": "pushed",
 "Domain": {"ClassLoad": [false, false, true], "GrantCap": 0.4, "Grants": true, "KindMemoryMb": [16384.0],
  "OnShortage": "swap", "Priorities": true, "ProgressPaceNs": 0, "ReportX0": "share of memory granted",
  "ReportX1": "share of disks busy", "SaysCost": true, "SizeCores": [8], "WidthByClass": [1, 4, 2],
  "YieldsToLoads": [true, false, false]},
 "Family": "queries",
 "Limits": {"Cancel": true, "ConnIdleNs": 30000000000, "ConnectTimeoutNs": 250000000, "CpuUsPerRequest": 0.0,
  "CpuUsPerS": 96544, "MaxAttempts": 4, "MaxOpen": 24136, "MaxRetryAfterNs": 500000000, "MaxStreams": 100,
  "ParallelTries": true, "Peers": false, "Probing": true, "RetryAfter": true},
 "MachineTypes": ["std-8core"], "OverShareWorth": 0.1, "PeersTotal": 1,
 "Penalties": {"Connection": 0.0, "CrossZone": 0.0, "Discovery": 0.0, "Handshake": 0.0, "LateFail": 0.08,
  "Moves": 0.0, "Origin": 0.0, "Peer": 0.01, "Probe": 0.01, "Waste": 0.05},
 "Position": 0,
 "RequestClasses": [
  {"AimStretch": 1.5, "Effect": "repeatable", "GiveUpNs": 2000000000, "KeyScope": "all", "LateWorth": 0.0,
   "Name": "lookup", "PromiseNs": 400000000, "Stream": false, "WindowNs": 5000000000, "Worth": 1.0},
  {"AimStretch": 2.5, "Effect": "repeatable", "GiveUpNs": 20000000000, "KeyScope": "all", "LateWorth": 0.4,
   "Name": "route-report", "PromiseNs": 2000000000, "Stream": false, "WindowNs": 5000000000, "Worth": 15.0},
  {"AimStretch": 3.0, "ByArrival": true, "Effect": "by_key", "GiveUpNs": 25000000000, "KeyScope": "all",
   "LateWorth": 0.6, "Name": "survey-load", "PromiseNs": 3000000000, "Stream": false, "WindowNs": 15000000000,
   "Worth": 20.0}],
 "ResultMix": {"Whole": 0.6, "WorstClass": 0.2, "WorstTenant": 0.1, "WorstWindow": 0.1},
 "RoundNs": 5000000,
 "Rules": {"AnswerSlackNs": 20000000, "AskEveryNs": 10000000000, "ColdFrom": 0.33, "DrainGraceNs": 500000000,
  "FallMultiple": 2.5, "FallNs": 1000000000, "KeyRestNs": 0, "WarmAfterNs": 15000000000},
 "Stats": {"Fields": ["queue", "x1", "x0"], "Source": "pull"},
 "Tenants": [{"Name": "fishing-fleet", "QuotaPerS": 33.0, "Share": 0.59},
  {"Name": "harbour-office", "QuotaPerS": 23.0, "Share": 0.41}],
 "Tier": 0, "Tiers": ["query-fleet"], "ValueBy": "request", "WeightKind": "rough",
 "Zone": "hafnarfjordur-dc", "Zones": ["hafnarfjordur-dc"]}`
	var settings map[string]any
	if err := json.Unmarshal([]byte(text), &settings); err != nil {
		panic(err)
	}
	settings["PeersTotal"] = brokers
	return settings
}

// HostOf returns the entry of an engine that is in service since long ago.
func HostOf(e *Engine) Host {
	return Host{e.ID, e.Addr(), "hafnarfjordur-dc", "std-8core", 0, "in_service", 4, 0}
}
