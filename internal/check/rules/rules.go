// Package rules is the layer of the checker that finds what is valid by itself and breaks a rule: of the protocol, of
// the deployment, or of good sense. It works on trees of values and does no I/O.
package rules

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"wheatlane/internal/check"
	"wheatlane/internal/jsontext"
)

// The figures that rules go by.
const (
	mostAttempts = 4     // brief: at most 4 attempts for a query
	sumSlack     = 0.005 // shares are written with two digits
	connections  = 8     // to an engine
	enginePart   = 4     // of the descriptors, one in so many may be for engines
	sessionKB    = 64    // that a request may hold
	heapPart     = 0.6   // of the memory, before the runtime collects harder
	backlogPart  = 8     // of the memory, one in so many may be for figures that wait
	mostMultiple = 2.5   // brief: a cold engine sent more than that falls over
	roundPart    = 10    // a round may take one in so many of the tightest aim
	second       = 1e9   // in nanoseconds
	mostRetry    = 60 * second
)

// hits collects what a rule finds: a path and what is seen there.
type hits func(seen string, path ...string)

// Rule is a check of this layer.
type Rule struct {
	check.Check
	Kind check.Kind
	Find func(root *jsontext.Node, hit hits)
}

func fault(code, rule, instead, broken, mended string, find func(*jsontext.Node, hits)) Rule {
	return Rule{check.Check{Code: code, Severity: check.Fault, Rule: rule, Instead: instead, Broken: broken, Mended: mended}, check.Platform, find}
}

func warning(code, rule, instead, broken, mended string, find func(*jsontext.Node, hits)) Rule {
	r := fault(code, rule, instead, broken, mended, find)
	r.Severity = check.Warning
	return r
}

func own(r Rule) Rule {
	r.Kind = check.Operator
	return r
}

// classes calls f with each class and its path.
func classes(root *jsontext.Node, f func(c *jsontext.Node, at func(key ...string) []string)) {
	each(root, f, "settings", "RequestClasses")
}

// each calls f with each item of a list and what makes paths below it.
func each(root *jsontext.Node, f func(n *jsontext.Node, at func(key ...string) []string), path ...string) {
	for i, n := range root.At(path...).All() {
		at := slices.Concat(path, []string{strconv.Itoa(i)})
		f(n, func(key ...string) []string { return slices.Concat(at, key) })
	}
}

// twice finds items of a list whose key has the value of one before.
func twice(key string, list ...string) func(*jsontext.Node, hits) {
	return func(root *jsontext.Node, hit hits) {
		seen := map[string]bool{}
		each(root, func(n *jsontext.Node, at func(...string) []string) {
			if v := n.Get(key).Str(); v != "" {
				if seen[v] {
					hit(strconv.Quote(v)+" again", at(key)...)
				}
				seen[v] = true
			}
		}, list...)
	}
}

func ms(ns float64) string { return strconv.FormatFloat(ns/1e6, 'f', -1, 64) + " ms" }

func num(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// lengths finds lists of a domain that don't have a value for each entry of another.
func lengths(of string, keys ...string) func(*jsontext.Node, hits) {
	return func(root *jsontext.Node, hit hits) {
		want := len(root.At("settings", of).All())
		for _, key := range keys {
			if l := root.At("settings", "Domain", key); l != nil && len(l.All()) != want {
				hit(fmt.Sprintf("%d values for %d", len(l.All()), want), "settings", "Domain", key)
			}
		}
	}
}

// Table is every check of this layer.
var Table = []Rule{
	fault("R101", "an aim past the give-up time can't be met late, only missed", "a PromiseNs below GiveUpNs",
		`"PromiseNs":3000000000,"GiveUpNs":2000000000`, `"PromiseNs":400000000,"GiveUpNs":2000000000`,
		func(root *jsontext.Node, hit hits) {
			classes(root, func(c *jsontext.Node, at func(...string) []string) {
				if aim, end := c.Get("PromiseNs").Num(0), c.Get("GiveUpNs").Num(0); end > 0 && aim > end {
					hit(ms(aim)+", given up after "+ms(end), at("PromiseNs")...)
				}
			})
		}),
	fault("R102", "a request is sent at most 4 times", "a MaxAttempts from 1 to 4", `"MaxAttempts":9`, `"MaxAttempts":4`,
		func(root *jsontext.Node, hit hits) {
			if n := root.At("settings", "Limits", "MaxAttempts").Num(0); n > mostAttempts {
				hit(num(n), "settings", "Limits", "MaxAttempts")
			}
		}),
	fault("R103", "repeats of a keyed class are dropped for a time only; without one, a repeat runs twice", "WindowNs, the time for which engines drop repeats",
		`"Effect":"by_key"`, `"Effect":"by_key","WindowNs":15000000000`,
		func(root *jsontext.Node, hit hits) {
			classes(root, func(c *jsontext.Node, at func(...string) []string) {
				if c.Get("Effect").Str() == "by_key" && c.Get("WindowNs").Num(0) <= 0 {
					hit("no window", at("WindowNs")...)
				}
			})
		}),
	fault("R104", "requests of a class in order run one at a time, and copies of one would run two at once", "an Effect of by_key or once, or no ByArrival",
		`"Effect":"repeatable","ByArrival":true`, `"Effect":"by_key","WindowNs":15000000000,"ByArrival":true`,
		func(root *jsontext.Node, hit hits) {
			classes(root, func(c *jsontext.Node, at func(...string) []string) {
				if c.Get("ByArrival").True() && c.Get("Effect").Str() == "repeatable" {
					hit("in order, and repeatable", at("ByArrival")...)
				}
			})
		}),
	fault("R105", "the shares of all tenants sum to 1", "shares that do",
		`"Tenants":[{"Name":"a","Share":0.6},{"Name":"b","Share":0.6}]`, `"Tenants":[{"Name":"a","Share":0.6},{"Name":"b","Share":0.4}]`,
		func(root *jsontext.Node, hit hits) {
			all, sum := root.At("settings", "Tenants").All(), 0.0
			for _, t := range all {
				sum += t.Get("Share").Num(0)
			}
			if len(all) > 0 && math.Abs(sum-1) > sumSlack {
				hit("they sum to "+num(math.Round(sum*1000)/1000), "settings", "Tenants")
			}
		}),
	fault("R106", "a tenant has a share", "a Share over 0", `{"Name":"a","Share":0}`, `{"Name":"a","Share":0.4}`,
		func(root *jsontext.Node, hit hits) {
			each(root, func(t *jsontext.Node, at func(...string) []string) {
				if v := t.Get("Share"); v != nil && v.Num(1) <= 0 {
					hit(num(v.Num(0)), at("Share")...)
				}
			}, "settings", "Tenants")
		}),
	fault("R107", "a class has a name of its own", "another Name", `[{"Name":"lookup"},{"Name":"lookup"}]`, `[{"Name":"lookup"},{"Name":"route-report"}]`,
		twice("Name", "settings", "RequestClasses")),
	fault("R108", "a tenant has a name of its own", "another Name", `[{"Name":"a"},{"Name":"a"}]`, `[{"Name":"a"},{"Name":"b"}]`,
		twice("Name", "settings", "Tenants")),
	fault("R109", "a cold engine has a part of its capacity", "a ColdFrom over 0 and up to 1", `"ColdFrom":1.5`, `"ColdFrom":0.33`,
		func(root *jsontext.Node, hit hits) {
			if v := root.At("settings", "Rules", "ColdFrom"); v != nil && (v.Num(1) <= 0 || v.Num(1) > 1) {
				hit(num(v.Num(0)), "settings", "Rules", "ColdFrom")
			}
		}),
	fault("R110", "a cold engine falls over at 2.5 times what it can do", "a FallMultiple from 1 to 2.5", `"FallMultiple":4`, `"FallMultiple":2.5`,
		func(root *jsontext.Node, hit hits) {
			if v := root.At("settings", "Rules", "FallMultiple"); v != nil && (v.Num(1) < 1 || v.Num(1) > mostMultiple) {
				hit(num(v.Num(0)), "settings", "Rules", "FallMultiple")
			}
		}),
	fault("R111", "an engine that starts cold is warm after a time", "WarmAfterNs over 0", `"ColdFrom":0.33,"WarmAfterNs":0`, `"ColdFrom":0.33,"WarmAfterNs":15000000000`,
		func(root *jsontext.Node, hit hits) {
			r := root.At("settings", "Rules")
			if c := r.Get("ColdFrom").Num(1); c > 0 && c < 1 && r.Get("WarmAfterNs").Num(0) <= 0 {
				hit("warm at once", "settings", "Rules", "WarmAfterNs")
			}
		}),
	fault("R112", "lists of the domain by class have a value for each class", "a value for each", `"WidthByClass":[1]`, `"WidthByClass":[1,4,2]`,
		lengths("RequestClasses", "WidthByClass", "ClassLoad", "YieldsToLoads")),
	fault("R113", "lists of the domain by kind have a value for each kind of machine", "a value for each", `"SizeCores":[8,16]`, `"SizeCores":[8]`,
		lengths("MachineTypes", "SizeCores", "KindMemoryMb")),
	fault("R114", "a class runs on no more threads than an engine has cores", "a smaller WidthByClass", `"WidthByClass":[1,64,2]`, `"WidthByClass":[1,4,2]`,
		func(root *jsontext.Node, hit hits) {
			cores := 0.0
			for _, n := range root.At("settings", "Domain", "SizeCores").All() {
				cores = max(cores, n.Num(0))
			}
			for i, n := range root.At("settings", "Domain", "WidthByClass").All() {
				if cores > 0 && n.Num(0) > cores {
					hit(num(n.Num(0))+" threads, "+num(cores)+" cores", "settings", "Domain", "WidthByClass", strconv.Itoa(i))
				}
			}
		}),
	fault("R115", "a class that is bound to kinds of machine is bound to kinds that there are", "a kind of MachineTypes", `"AllowedOn":["big"]`, `"AllowedOn":["std-8core"]`,
		func(root *jsontext.Node, hit hits) {
			kinds := map[string]bool{}
			for _, n := range root.At("settings", "MachineTypes").All() {
				kinds[n.Str()] = true
			}
			classes(root, func(c *jsontext.Node, at func(...string) []string) {
				for i, n := range c.Get("AllowedOn").All() {
					if !kinds[n.Str()] {
						hit(strconv.Quote(n.Str()), at("AllowedOn", strconv.Itoa(i))...)
					}
				}
			})
		}),
	fault("R116", "a late answer earns a part of the worth", "a LateWorth from 0 to 1", `"LateWorth":3`, `"LateWorth":0.3`,
		func(root *jsontext.Node, hit hits) {
			classes(root, func(c *jsontext.Node, at func(...string) []string) {
				if v := c.Get("LateWorth"); v != nil && (v.Num(0) < 0 || v.Num(0) > 1) {
					hit(num(v.Num(0)), at("LateWorth")...)
				}
			})
		}),
	fault("R117", "an answer is worth something", "a Worth over 0", `"Worth":0`, `"Worth":1`,
		func(root *jsontext.Node, hit hits) {
			classes(root, func(c *jsontext.Node, at func(...string) []string) {
				if v := c.Get("Worth"); v != nil && v.Num(1) <= 0 {
					hit(num(v.Num(0)), at("Worth")...)
				}
			})
		}),
	fault("R118", "a broker has a place among its peers, from 0", "a Position below PeersTotal", `"PeersTotal":3,"Position":3`, `"PeersTotal":3,"Position":2`,
		func(root *jsontext.Node, hit hits) {
			total, at := root.At("settings", "PeersTotal").Num(0), root.At("settings", "Position").Num(0)
			if total > 0 && at >= total || at < 0 {
				hit(num(at)+" of "+num(total), "settings", "Position")
			}
		}),
	fault("R119", "clients are told to stay away for no longer than they follow", "a MaxRetryAfterNs below a minute", `"MaxRetryAfterNs":600000000000`, `"MaxRetryAfterNs":500000000`,
		func(root *jsontext.Node, hit hits) {
			if v := root.At("settings", "Limits", "MaxRetryAfterNs").Num(0); v > mostRetry {
				hit(ms(v), "settings", "Limits", "MaxRetryAfterNs")
			}
		}),
	fault("R120", "a broker listens at its own address only", "the address of the broker", `"listen":"0.0.0.0:6565"`, `"listen":"10.0.0.4:6565"`,
		func(root *jsontext.Node, hit hits) {
			if a, err := netip.ParseAddrPort(root.Get("listen").Str()); err == nil && a.Addr().IsUnspecified() {
				hit(a.String(), "listen")
			}
		}),
	fault("R121", "the change log is somewhere else than the broker", "the address of the change log", `"listen":"10.0.0.4:6565","changelog":"10.0.0.4:6565"`,
		`"listen":"10.0.0.4:6565","changelog":"10.2.0.1:4222"`,
		func(root *jsontext.Node, hit hits) {
			if l := root.Get("listen").Str(); l != "" && l == root.Get("changelog").Str() && !strings.HasSuffix(l, ":0") {
				hit(l, "changelog")
			}
		}),
	fault("R122", "descriptors suffice for the connections to all engines", "more limits.sockets", `"sockets":64, with 8 engines known`, `"sockets":1024`,
		func(root *jsontext.Node, hit hits) {
			engines := map[string]bool{}
			hosts(root, func(h *jsontext.Node, _ func(...string) []string) {
				engines[h.Get("host").Str()] = h.Get("health").Str() != "terminated"
			})
			n := 0
			for _, there := range engines {
				if there {
					n++
				}
			}
			if s := root.At("limits", "sockets").Num(1024); float64(n*connections) > s/enginePart {
				hit(fmt.Sprintf("%s, for %d engines", num(s), n), "limits", "sockets")
			}
		}),
	warning("R123", "what clients may have open at once fits the memory", "more limits.memory_mb or fewer limits.sockets", `"memory_mb":32,"sockets":4096`, `"memory_mb":192,"sockets":1024`,
		func(root *jsontext.Node, hit hits) {
			sockets, memory := root.At("limits", "sockets").Num(1024), root.At("limits", "memory_mb").Num(192)
			if need := sockets * (1 - 1.0/enginePart) * sessionKB / 1024; need > heapPart*memory {
				hit(fmt.Sprintf("%s MB, and requests may hold %.0f", num(memory), need), "limits", "memory_mb")
			}
		}),
	warning("R124", "rounds are short against the tightest aim", "a smaller RoundNs", `"RoundNs":500000000`, `"RoundNs":5000000`,
		func(root *jsontext.Node, hit hits) {
			tightest := math.Inf(1)
			classes(root, func(c *jsontext.Node, _ func(...string) []string) {
				if aim := c.Get("PromiseNs").Num(0); aim > 0 {
					tightest = min(tightest, aim)
				}
			})
			if r := root.At("settings", "RoundNs").Num(0); r > tightest/roundPart {
				hit(ms(r)+", the tightest aim is "+ms(tightest), "settings", "RoundNs")
			}
		}),
	fault("R125", "an engine in service has an address of its own", "another address", `two hosts with "dial":"10.1.0.9:6565"`, `"dial":"10.1.0.10:6565"`,
		func(root *jsontext.Node, hit hits) {
			for i, ev := range root.At("known", "results").All() {
				at := map[string]string{}
				for j, h := range ev.At("fleet", "hosts").All() {
					dial, id := h.Get("dial").Str(), h.Get("host").Str()
					if h.Get("health").Str() == "terminated" || dial == "" {
						continue
					}
					if o, taken := at[dial]; taken && o != id {
						hit(dial+", which is that of "+o, "known", "results", strconv.Itoa(i), "fleet", "hosts", strconv.Itoa(j), "dial")
					}
					at[dial] = id
				}
			}
		}),
	fault("R126", "an engine is of a kind of machine that there is", "a kind of MachineTypes", `"class":"huge"`, `"class":"std-8core"`,
		func(root *jsontext.Node, hit hits) {
			kinds := map[string]bool{}
			for _, n := range root.At("settings", "MachineTypes").All() {
				kinds[n.Str()] = true
			}
			hosts(root, func(h *jsontext.Node, at func(...string) []string) {
				if c := h.Get("class").Str(); len(kinds) > 0 && !kinds[c] {
					hit(strconv.Quote(c), at("class")...)
				}
			})
		}),
	fault("R127", "the first event known holds the whole list", "events from the first on", `"results":[{"seq":1,"fleet":{"whole":false}}]`, `"results":[{"seq":1,"fleet":{"whole":true}}]`,
		func(root *jsontext.Node, hit hits) {
			if all := root.At("known", "results").All(); len(all) > 0 && !all[0].At("fleet", "whole").True() {
				hit("a change of a list that is not there", "known", "results", "0", "fleet", "whole")
			}
		}),
	fault("R128", "events are numbered in rising order", "the events in their order", `"seq":2 ahead of "seq":1`, `"seq":1 ahead of "seq":2`,
		func(root *jsontext.Node, hit hits) {
			last := 0.0
			for i, ev := range root.At("known", "results").All() {
				if n := ev.Get("seq").Num(0); n <= last {
					hit(num(n)+" after "+num(last), "known", "results", strconv.Itoa(i), "seq")
				}
				last = max(last, ev.Get("seq").Num(0))
			}
		}),
	fault("R129", "the number of the list is that of its last event", "the number of the last", `"seq":9, of events up to 3`, `"seq":3`,
		func(root *jsontext.Node, hit hits) {
			all := root.At("known", "results").All()
			if len(all) == 0 {
				return
			}
			if last := all[len(all)-1].Get("seq").Num(0); root.At("known", "seq").Num(last) != last {
				hit(num(root.At("known", "seq").Num(0))+", the last is "+num(last), "known", "seq")
			}
		}),
	own(fault("R201", "two destinations are two places", "another address, or one of them", `two with "address":"10.0.0.9:2003"`, `"address":"10.0.0.10:2003"`,
		func(root *jsontext.Node, hit hits) {
			for _, list := range []string{"graphite", "collectd"} {
				twice("address", "telemetry", list)(root, hit)
			}
		})),
	own(fault("R202", "what waits for collectors leaves the broker its memory", "smaller budgets", `"budget_kb":65536, twice`, `"budget_kb":512`,
		func(root *jsontext.Node, hit hits) {
			sum, last := 0.0, []string(nil)
			for _, list := range []string{"graphite", "collectd"} {
				each(root, func(d *jsontext.Node, at func(...string) []string) {
					if b := d.Get("budget_kb"); b != nil {
						sum, last = sum+b.Num(0), at("budget_kb")
					}
				}, "telemetry", list)
			}
			if last != nil && sum > 192*1024/backlogPart {
				hit(num(sum)+" KB together", last...)
			}
		})),
	own(warning("R203", "a name outlives the interval in which it came", "a longer idle_s or a shorter interval", `"interval_ms":60000,"names":{"idle_s":10}`,
		`"interval_ms":10000,"names":{"idle_s":600}`,
		func(root *jsontext.Node, hit hits) {
			t := root.Get("telemetry")
			if idle, every := t.At("names", "idle_s").Num(600), t.Get("interval_ms").Num(10_000); idle*1000 < 2*every {
				hit(num(idle)+" s, intervals of "+ms(every*1e6), "telemetry", "names", "idle_s")
			}
		})),
	own(warning("R204", "what leaves the machine for collectd is signed or encrypted", `"security":"encrypt"`, `"address":"10.0.0.9:25826"`,
		`"address":"10.0.0.9:25826","security":"encrypt","user":"chart","password_file":"collectd.secret"`,
		func(root *jsontext.Node, hit hits) {
			each(root, func(d *jsontext.Node, at func(...string) []string) {
				a, err := netip.ParseAddrPort(d.Get("address").Str())
				if s := d.Get("security").Str(); err == nil && !a.Addr().IsLoopback() && (s == "" || s == "none") {
					hit(a.String(), at("address")...)
				}
			}, "telemetry", "collectd")
		})),
	own(warning("R205", "a user is given where one is asked for", `"security":"sign" or "encrypt", or no user`, `"user":"chart"`, `"security":"sign","user":"chart","password_file":"collectd.secret"`,
		func(root *jsontext.Node, hit hits) {
			each(root, func(d *jsontext.Node, at func(...string) []string) {
				if s := d.Get("security").Str(); (s == "" || s == "none") && d.Get("user").Str() != "" {
					hit("a user, and no security", at("user")...)
				}
			}, "telemetry", "collectd")
		})),
}

// hosts calls f with each host of all events known.
func hosts(root *jsontext.Node, f func(h *jsontext.Node, at func(key ...string) []string)) {
	for i := range root.At("known", "results").All() {
		each(root, f, "known", "results", strconv.Itoa(i), "fleet", "hosts")
	}
}

// Run finds what a file breaks.
func Run(f *check.File) (all []check.Finding) {
	for _, r := range Table {
		if r.Kind != f.Kind {
			continue
		}
		r.Find(f.Root, func(seen string, path ...string) { all = append(all, f.Hit(r.Check, seen, path...)) })
	}
	return all
}
