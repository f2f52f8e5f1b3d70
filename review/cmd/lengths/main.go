// Command lengths plays engines of which some good answers arrive with a length that doesn't fit, and checks that no
// client gets a result as served that its engine did not make.
package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"wheatlane-review/rig"
)

const (
	share    = 0.05 // of the good answers that arrive spoilt
	sessions = 12
	playFor  = 20 * time.Second
)

// result returns the rows that the engines make for a request.
func result(ref string) []string {
	rows := make([]string, 5)
	for i := range rows {
		rows[i] = fmt.Sprintf("2026-12-0%d\t%s\tnote %d", i+1, ref, i)
	}
	return rows
}

func main() {
	c := rig.NewCase()
	var mu sync.Mutex
	spoilt := map[string]string{}
	var hosts []rig.Host
	for i := range 6 {
		e, err := rig.NewEngine(fmt.Sprintf("s-%08x", 0x30+i), func(a *rig.Attempt) {
			c.Add("%s began %s", a.Engine.ID, a.ID)
			select {
			case <-a.Cancelled:
				return
			case <-time.After(60 * time.Millisecond):
			}
			parts := []string{a.ID, "OK", "sheets=1,toil=60,room=16", strings.Join(result(a.ID), "\n") + "\n"}
			if !c.Trouble || !rig.Happens(share) {
				a.ReplyRaw(rig.Message(nil, parts...))
				c.Add("%s answered %s", a.Engine.ID, a.ID)
				return
			}
			// One of the five lengths of the message is one or two too small or too large.
			at := rig.IntN(5)
			right := 4
			if at > 0 {
				right = len(parts[at-1])
			}
			wrong := right + []int{-2, -1, 1, 2}[rig.IntN(4)]
			what := fmt.Sprintf("length %d of the message is %d in place of %d", at, max(0, wrong), right)
			mu.Lock()
			spoilt[a.ID] = what
			mu.Unlock()
			a.ReplyRaw(rig.Message(map[int]int{at: max(0, wrong)}, parts...))
			c.Add("%s answered %s spoilt: %s", a.Engine.ID, a.ID, what)
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
	p := c.StartBroker(cfg, filepath.Join(c.Dir, "tmp"))

	end := time.Now().Add(playFor)
	served, wrong, others := 0, 0, 0
	var clients sync.WaitGroup
	for range sessions {
		clients.Go(func() {
			var session *rig.Client
			for time.Now().Before(end) {
				time.Sleep(30 * time.Millisecond)
				if session == nil {
					if session, err = rig.Dial(cfg.Listen, 2*time.Second); err != nil {
						c.Add("client: %v", err)
						continue
					}
				}
				ref := rig.Hex(16)
				c.Add("client sent %s", ref)
				_, _ = session.Write(rig.Query(fmt.Sprintf("/* service=lookup,ref=%s,allow=2000,project=fishing-fleet,effort=60.0,ram=16 */ "+
					"SELECT day, tag, note FROM sales_17.orders WHERE tag = '%s'", ref, ref)))
				answer, err := session.Read(time.Now().Add(2500 * time.Millisecond))
				c.Add("client: %s: %v %v", ref, answer, err)
				if err != nil {
					session.Close()
					session = nil
				}
				mu.Lock()
				switch {
				case err != nil || answer.Code != 0:
					others++
				case strings.Join(answer.Rows, "\n") != strings.Join(result(ref), "\n"):
					wrong++
					c.Add("WRONG: %s was answered as served with %d rows, the engine made %d; %s", ref, len(answer.Rows), len(result(ref)), spoilt[ref])
				default:
					served++
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	c.Check(p.Running(), "the broker has ended")
	c.Check(served > 200, "too little traffic to judge")
	c.Finish(wrong > 0, "%d requests were answered as served with rows that no engine made for them; %d served right, %d refused or failed, %d answers spoilt",
		wrong, served, others, len(spoilt))
}
