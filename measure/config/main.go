// Command config measures the checker of configurations and the decisions on adopting one. Each line is a name, a value
// and a unit. See docs/measurements/config.md.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"wheatlane/internal/check"
	"wheatlane/internal/check/faultinjection"
	"wheatlane/internal/check/fleet"
	"wheatlane/internal/check/form"
	"wheatlane/internal/check/rules"
	"wheatlane/internal/durable"
	"wheatlane/internal/rollout"
)

func main() {
	for _, part := range []func() error{faults, times, adoption, store} {
		if err := part(); err != nil {
			fmt.Fprintln(os.Stderr, "measure:", err)
			os.Exit(1)
		}
	}
}

func tell(name string, value float64, unit string) { fmt.Printf("%s %.4g %s\n", name, value, unit) }

func find(doc map[string]any) ([]check.Finding, error) {
	text, err := faultinjection.Text(doc)
	if err != nil {
		return nil, err
	}
	f, all, err := form.Run("a.json", text)
	if f != nil {
		all = append(all, rules.Run(f)...)
	}
	return all, err
}

func valid(rng *rand.Rand, kind check.Kind) map[string]any {
	if kind == check.Operator {
		return faultinjection.Operator(rng)
	}
	return faultinjection.Platform(rng)
}

func faults() error {
	const seeds = 2000
	kinds := faultinjection.Faults()
	found, false_ := 0, 0
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 1))
		one := kinds[int(seed)%len(kinds)]
		doc := valid(rng, one.Kind)
		path := check.Key(one.Plant(rng, doc)...)
		all, err := find(doc)
		if err != nil {
			return err
		}
		if slices.ContainsFunc(all, func(f check.Finding) bool { return f.Code == one.Code && f.Key == path }) {
			found++
		}
		for _, kind := range []check.Kind{check.Platform, check.Operator} {
			all, err := find(valid(rand.New(rand.NewPCG(seed, 2)), kind))
			if err != nil {
				return err
			}
			false_ += len(all)
		}
	}
	tell("kinds_of_fault", float64(len(kinds)), "kinds")
	tell("faults_planted", seeds, "faults")
	tell("faults_found", float64(found), "faults")
	tell("valid_files", 2*seeds, "files")
	tell("false_findings", float64(false_), "findings")
	return nil
}

func times() error {
	for _, n := range []int{10, 100, 1000} {
		var texts [][]byte
		for i := range n {
			doc := faultinjection.Platform(rand.New(rand.NewPCG(1, 0)))
			doc["name"], doc["listen"] = fmt.Sprint("n", i), fmt.Sprintf("10.%d.%d.1:6565", i/250, i%250)
			set := doc["settings"].(map[string]any)
			set["PeersTotal"], set["Position"] = n, i
			text, err := faultinjection.Text(doc)
			if err != nil {
				return err
			}
			texts = append(texts, text)
		}
		began := time.Now()
		var files []*check.File
		findings := 0
		for i, text := range texts {
			f, all, err := form.Run(fmt.Sprint(i, ".json"), text)
			if err != nil {
				return err
			}
			files = append(files, f)
			findings += len(all) + len(rules.Run(f))
		}
		findings += len(fleet.Run(files))
		tell(fmt.Sprintf("check_%d_files", n), float64(time.Since(began).Microseconds())/1000, "ms")
		if findings > 0 {
			return fmt.Errorf("%d findings in %d valid files", findings, n)
		}
	}
	return nil
}

// store measures a store on the disk of the folder for temporary files, against writing all anew each time.
func store() error {
	dir, err := os.MkdirTemp("", "measure")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	record := make([]byte, 200)
	for _, n := range []int{100, 1000, 10_000, 100_000} {
		d, err := durable.NewDisk(filepath.Join(dir, fmt.Sprint(n)))
		if err != nil {
			return err
		}
		// Syncing each of a hundred thousand would take minutes.
		if err := fill(d, record, n); err != nil {
			return err
		}
		began := time.Now()
		s, st, err := durable.Open(d)
		if err != nil {
			return err
		}
		if len(st.Records) != n {
			return fmt.Errorf("%d records of %d", len(st.Records), n)
		}
		tell(fmt.Sprintf("recovery_of_%d_records", n), float64(time.Since(began).Microseconds())/1000, "ms")
		if n == 1000 {
			rate := func(name string, do func() error) error {
				began, count := time.Now(), 0
				for ; time.Since(began) < time.Second; count++ {
					if err := do(); err != nil {
						return err
					}
				}
				tell(name, float64(count)/time.Since(began).Seconds(), "writes/s")
				return nil
			}
			all := make([]byte, n*len(record))
			if err := errors.Join(rate("store_log", func() error { return s.Append(record) }),
				rate("store_rewrite_of_1000_records", func() error { return s.Compact(all) })); err != nil {
				return err
			}
		}
		if err := s.Close(); err != nil {
			return err
		}
	}
	return nil
}

// unsynced is a disk that does not wait for its syncs.
type unsynced struct{ *durable.Disk }

type quick struct{ durable.File }

func (quick) Sync() error { return nil }

func (u unsynced) Append(name string) (durable.File, error) {
	f, err := u.Disk.Append(name)
	return quick{f}, err
}

// fill appends records without waiting for the disk.
func fill(d *durable.Disk, record []byte, n int) error {
	s, _, err := durable.Open(unsynced{d})
	if err != nil {
		return err
	}
	for range n {
		if err := s.Append(record); err != nil {
			return err
		}
	}
	return s.Close()
}

const look = 5 * time.Second

// trial is a configuration that makes so many requests more end badly, at 50 a second of which 5% do anyway.
func trial(seed uint64, harm float64) (rolled bool, after time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 3))
	m, now := rollout.New(rollout.Standard(), "before"), time.Duration(0)
	saw := func(bad float64) {
		now += look
		c := map[string]rollout.Counts{}
		for class, n := range map[string]int{"lookup": 200, "route-report": 35, "survey-load": 15} {
			x := rollout.Counts{Ended: float64(n)}
			for range n {
				if rng.Float64() < bad {
					x.Bad++
				}
			}
			c[class] = x
		}
		m.Apply(now, rollout.Saw{Classes: c, Took: look})
	}
	for range 30 {
		saw(0.05)
	}
	m.Apply(now, rollout.Offer{Version: "after"})
	began := now
	for m.Trial() != "" {
		saw(0.05 + harm)
	}
	return m.Good() == "before", now - began
}

func adoption() error {
	const calm = 1000
	false_ := 0
	for seed := range uint64(calm) {
		if rolled, _ := trial(seed, 0); rolled {
			false_++
		}
	}
	tell("calm_trials", calm, "trials")
	tell("false_rollbacks", float64(false_), "trials")
	tell("false_rollbacks_stated", rollout.Standard().Alpha*calm, "trials at the most")
	for _, harm := range []float64{0.05, 0.10, 0.30} {
		const trials = 200
		found := []float64{}
		for seed := range uint64(trials) {
			if rolled, after := trial(seed, harm); rolled {
				found = append(found, after.Seconds())
			}
		}
		tell(fmt.Sprintf("harm_of_%.0f_percent_found", 100*harm), 100*float64(len(found))/trials, "percent of trials")
		if len(found) > 0 {
			slices.Sort(found)
			tell(fmt.Sprintf("harm_of_%.0f_percent_found_after", 100*harm), found[len(found)/2], "s")
		}
	}
	return nil
}
