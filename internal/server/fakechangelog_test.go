package server

import (
	"fmt"
	"strings"
)

// fakeChangelog is a change log that a test plays.
type fakeChangelog struct {
	polls chan string // queries that came
	pages chan string // answers to give
}

func endpointJSON(id, addr, health string, born int64) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"class":"std","health":%q,"born_ms":%d}`, id, addr, health, born)
}

func pageJSON(seq int, whole bool, hosts ...string) string {
	return fmt.Sprintf(`{"seq":%d,"results":[{"seq":%d,"fleet":{"whole":%v,"hosts":[%s]}}]}`, seq, seq, whole, strings.Join(hosts, ","))
}
