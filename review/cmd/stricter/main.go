// Command stricter plays a new configuration at SIGHUP in which one class has vanished and another one may run only
// once, and connections that are reset under requests, and checks that no request of that class runs twice.
package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"wheatlane-review/rig"
)

const (
	sessions   = 8
	playFor    = 15 * time.Second
	resetShare = 0.1 // of the requests whose connection is reset under their first attempt
	work       = 150 * time.Millisecond
)

func main() {
	c := rig.NewCase()
	var mu sync.Mutex
	runs := map[string][]string{} // by request: the engines that ran it
	resets := 0
	var hosts []rig.Host
	for i := range 6 {
		e, err := rig.NewEngine(fmt.Sprintf("s-%08x", 0x40+i), func(a *rig.Attempt) {
			mu.Lock()
			runs[a.ID] = append(runs[a.ID], a.Engine.ID)
			reset := len(runs[a.ID]) == 1 && rig.Happens(resetShare)
			if reset {
				resets++
			}
			mu.Unlock()
			c.Add("%s began %s", a.Engine.ID, a.ID)
			if reset {
				time.Sleep(work / 2)
				c.Add("%s resets the connection under %s", a.Engine.ID, a.ID)
				a.ResetConnection()
				return
			}
			if a.RunFor(work, "2026-12-04\t7\tnote\n") {
				c.Add("%s answered %s", a.Engine.ID, a.ID)
			}
		})
		c.Must(err)
		hosts = append(hosts, rig.HostOf(e))
	}
	log, err := rig.NewChangelog(hosts)
	c.Must(err)
	cfg := rig.Config{
		Name: "n1", Listen: rig.FreePort(), Operator: rig.FreePort(), Changelog: log.Addr(),
		MemoryMB: 192, Sockets: 1024, Known: log.Since(0), Settings: rig.Settings(1),
	}
	path := filepath.Join(c.Dir, "config.json")
	c.Must(cfg.Write(path))
	p := c.StartProcess(path, filepath.Join(c.Dir, "tmp"))
	c.Must(rig.WaitReady(cfg.Listen, 30*time.Second))
	time.Sleep(1500 * time.Millisecond) // never within its first second, nor before it is ready

	classes := cfg.Settings["RequestClasses"].([]any)
	classes[1].(map[string]any)["Effect"] = "once"
	if c.Trouble {
		cfg.Settings["RequestClasses"] = classes[:2]
		domain := cfg.Settings["Domain"].(map[string]any)
		for _, key := range []string{"ClassLoad", "WidthByClass", "YieldsToLoads"} {
			domain[key] = domain[key].([]any)[:2]
		}
		c.Add("new file: route-report may run only once, survey-load has vanished")
	} else {
		c.Add("new file: route-report may run only once")
	}
	c.Must(cfg.Write(path))
	p.Signal(syscall.SIGHUP)
	c.Add("SIGHUP")
	time.Sleep(2 * time.Second) // new settings are in use after 1.2 s

	end := time.Now().Add(playFor)
	var clients sync.WaitGroup
	answers := map[string]int{}
	for range sessions {
		clients.Go(func() {
			var session *rig.Client
			for time.Now().Before(end) {
				time.Sleep(100 * time.Millisecond)
				if session == nil {
					if session, err = rig.Dial(cfg.Listen, 2*time.Second); err != nil {
						c.Add("client: %v", err)
						continue
					}
				}
				ref := rig.Hex(16)
				c.Add("client sent %s", ref)
				_, _ = session.Write(rig.Query(fmt.Sprintf("/* service=route-report,ref=%s,allow=20000,project=harbour-office,effort=600.0,ram=64 */ "+
					"SELECT day, count(*), max(note) FROM sales_17.orders GROUP BY day", ref)))
				answer, err := session.Read(time.Now().Add(21 * time.Second))
				c.Add("client: %s: %v %v", ref, answer, err)
				mu.Lock()
				answers[answer.Kind()]++
				mu.Unlock()
				if err != nil {
					session.Close()
					session = nil
				}
			}
		})
	}
	clients.Wait()
	c.Check(p.Running(), "the broker has ended")
	reply, err := rig.Call(cfg.Operator, "vars")
	c.Must(err)
	for _, line := range strings.Split(reply, "\n") {
		if strings.Contains(line, "conf_") {
			c.Add("vars: %s", line)
		}
	}
	c.BrokerLog(path, "reloaded")
	twice := 0
	mu.Lock()
	defer mu.Unlock()
	for ref, at := range runs {
		if len(at) > 1 {
			twice++
			c.Add("%s ran at %s", ref, strings.Join(at, " and "))
		}
	}
	c.Check(resets > 0 && len(runs) > 50, "too little traffic to judge")
	c.Finish(twice > 0, "%d of %d requests that may run once ran more than once; %d connections were reset under a request; answers %v", twice, len(runs), resets, answers)
}
