// Command review2 plays the cases of the second review. Each case starts brokers by the deploy file's command beside
// stand-ins for clients, engines and the change log, and judges what these saw.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// lab is what a case works with.
type lab struct {
	rec     *record
	trouble bool
	folder  string // for configurations and for TMPDIR
	log     *changelog
	engines *engines
}

var cases = map[string]func(*lab) (broken bool){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		os.Exit(2)
	}
	folder, err := os.MkdirTemp("", "review2")
	if err != nil {
		fatal(err)
	}
	rec := newRecord(os.Args[2])
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() { fatal(<-ended) }()
	time.AfterFunc(115*time.Second, func() { fatal("not finished after 115 s") })
	l := &lab{
		rec: rec, trouble: os.Getenv("TROUBLE") != "0", folder: folder, log: newChangelog(rec),
		engines: &engines{rec: rec},
	}
	rec.say("case %s, trouble %v", os.Args[1], l.trouble)
	broken := cases[os.Args[1]](l)
	stopAll()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(folder)
	} else {
		fmt.Println("kept", folder)
	}
	if broken {
		rec.say("the rule was broken")
		os.Exit(1)
	}
	rec.say("the rule held")
}

// newEngines adds engines to the list and tells the change log.
func (l *lab) newEngines(n int) {
	var hosts []host
	for i := range n {
		hosts = append(hosts, host{l.engines.add(fmt.Sprintf("s-%08x", 0x4c41f70+i)), "in_service", 0})
	}
	l.log.tell(hosts...)
}

// newBroker returns a broker that is not started.
func (l *lab) newBroker(name string, s map[string]any, memoryMB, sockets int) *broker {
	tmp := l.folder + "/tmp-" + name
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		fatal(err)
	}
	return &broker{
		name: name, listen: freeAddr(), operator: freeAddr(), config: l.folder + "/" + name + ".json", tmp: tmp,
		settings: s, memoryMB: memoryMB, sockets: sockets, log: l.log,
	}
}
