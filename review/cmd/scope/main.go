// Command scope plays a broken configuration file at SIGHUP, in which the keyed class lacks its KeyScope, and
// connections that are reset under requests, and checks that no load is applied in two zones.
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
	resetShare = 0.1
	work       = 100 * time.Millisecond
)

func main() {
	c := rig.NewCase()
	zones := []string{"north", "south"}
	var mu sync.Mutex
	applied := map[string]map[string]bool{} // by idempotency key: the zones whose engines applied the load
	resets := 0
	var hosts []rig.Host
	for i := range 6 {
		zone := zones[i%2]
		e, err := rig.NewEngine(fmt.Sprintf("s-%08x", 0x40+i), func(a *rig.Attempt) {
			op := a.Fields["op"]
			// The engines of one zone drop a repeat of a key.
			mu.Lock()
			if applied[op] == nil {
				applied[op] = map[string]bool{}
			}
			repeat := applied[op][zone]
			applied[op][zone] = true
			reset := !repeat && rig.Happens(resetShare)
			if reset {
				resets++
			}
			mu.Unlock()
			c.Add("%s (%s) began %s, key %s, repeat %v", a.Engine.ID, zone, a.ID, op, repeat)
			if reset {
				time.Sleep(work / 2)
				c.Add("%s resets the connection under %s", a.Engine.ID, a.ID)
				a.ResetConnection()
				return
			}
			a.RunFor(work, "2026-12-04\t1\tloaded\n")
		})
		c.Must(err)
		host := rig.HostOf(e)
		host.Site, host.Block = zone, i%2
		hosts = append(hosts, host)
	}
	log, err := rig.NewChangelog(hosts)
	c.Must(err)
	settings := rig.Settings(1)
	settings["Zones"], settings["Zone"] = zones, "north"
	load := settings["RequestClasses"].([]any)[2].(map[string]any)
	load["KeyScope"] = "zone"
	cfg := rig.Config{
		Name: "n1", Listen: rig.FreePort(), Operator: rig.FreePort(), Changelog: log.Addr(),
		MemoryMB: 192, Sockets: 1024, Known: log.Since(0), Settings: settings,
	}
	path := filepath.Join(c.Dir, "config.json")
	c.Must(cfg.Write(path))
	p := c.StartProcess(path, filepath.Join(c.Dir, "tmp"))
	c.Must(rig.WaitReady(cfg.Listen, 30*time.Second))
	time.Sleep(1500 * time.Millisecond)
	if c.Trouble {
		delete(load, "KeyScope")
		c.Must(cfg.Write(path))
		p.Signal(syscall.SIGHUP)
		c.Add("SIGHUP with a broken file: the keyed class lacks the key KeyScope")
	}
	time.Sleep(1500 * time.Millisecond) // new settings are in use after 1.2 s

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
				ref, op := rig.Hex(16), rig.Hex(32)
				c.Add("client sent %s, key %s", ref, op)
				_, _ = session.Write(rig.Query(fmt.Sprintf("/* service=survey-load,ref=%s,allow=20000,project=harbour-office,replay=%s,effort=200.0,ram=64,lookup=%s */ "+
					"INSERT INTO sales_17.soundings VALUES (1, 2, 3)", ref, op, rig.Hex(16))))
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
	c.BrokerLog(path, "reload")
	twice := 0
	mu.Lock()
	defer mu.Unlock()
	for op, in := range applied {
		if len(in) > 1 {
			twice++
			c.Add("the load with key %s was applied in both zones", op)
		}
	}
	c.Check(resets > 0 && len(applied) > 50, "too little traffic to judge")
	c.Finish(twice > 0, "%d of %d loads were applied in both zones; %d connections were reset under a load; answers %v", twice, len(applied), resets, answers)
}
