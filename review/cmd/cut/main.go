// Command cut plays clients that write several requests at once, of which the last arrives cut: its connection
// falls quiet for a while and stays open. It checks that the requests that came whole are answered.
package main

import (
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"wheatlane-review/rig"
)

const (
	clients = 10
	work    = 3 * time.Second  // of a report
	quiet   = 3 * time.Second  // from the write until the rest of the second request comes
	allow   = 20 * time.Second // class route-report: GiveUpNs
	slack   = 50 * time.Millisecond
)

func main() {
	c := rig.NewCase()
	var hosts []rig.Host
	for i := range 6 {
		e, err := rig.NewEngine(fmt.Sprintf("s-%08x", 0x50+i), func(a *rig.Attempt) {
			c.Add("%s began %s", a.Engine.ID, a.ID)
			run := work
			if a.Fields["sort"] == "lookup" {
				run = 50 * time.Millisecond
			}
			ok := a.RunFor(run, "2026-12-04\t7\tnote\n")
			c.Add("%s ended %s, served %v", a.Engine.ID, a.ID, ok)
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

	var mu sync.Mutex
	lost, answered := 0, map[string]int{}
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 200 * time.Millisecond)
			session, err := rig.Dial(cfg.Listen, 2*time.Second)
			c.Must(err)
			defer session.Close()
			// An earlier request of the session, so that it is not the connection's first one that is lost.
			look := rig.Hex(16)
			_, _ = session.Write(rig.Query(fmt.Sprintf(
				"/* service=lookup,ref=%s,allow=2000,project=fishing-fleet,effort=60.0,ram=16 */ SELECT a FROM sales_17.orders", look)))
			answer, err := session.Read(time.Now().Add(3 * time.Second))
			c.Add("client: %s: %v %v", look, answer, err)
			c.Must(err)
			first, second := rig.Hex(16), rig.Hex(16)
			whole, next := query(first), query(second)
			cut := len(next)
			if c.Trouble {
				cut = len(next) / 2
			}
			sent := time.Now()
			_, _ = session.Write(append(whole, next[:cut]...))
			c.Add("client sent %s whole, and %d of %d bytes of %s", first, cut, len(next), second)
			if c.Trouble {
				rest := time.AfterFunc(quiet, func() {
					_, _ = session.Write(next[cut:])
					c.Add("client sent the rest of %s", second)
				})
				defer rest.Stop()
			}
			answer, err = session.Read(sent.Add(allow + slack + 500*time.Millisecond))
			c.Add("client: %s after %v: %v %v", first, time.Since(sent).Round(time.Millisecond), answer, err)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				lost++
				c.Add("LOST: %s was taken and its connection ended with no answer", first)
				return
			}
			answered[answer.Kind()]++
		})
	}
	all.Wait()
	c.Check(p.Running(), "the broker has ended")
	c.BrokerLog(path, "read_timeout")
	c.Finish(lost > 0, "%d of %d requests that had come whole were never answered; answers %v", lost, clients, answered)
}

func query(ref string) []byte {
	return rig.Query(fmt.Sprintf("/* service=route-report,ref=%s,allow=%d,project=fishing-fleet,effort=800.0,ram=64 */ "+
		"SELECT day, count(*), max(note) FROM sales_17.orders GROUP BY day", ref, allow.Milliseconds()))
}
