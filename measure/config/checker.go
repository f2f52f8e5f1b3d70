package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wheatlane/internal/check"
	"wheatlane/internal/check/faultinjection"
	"wheatlane/internal/check/fileformat"
	"wheatlane/internal/check/fleet"
	"wheatlane/internal/check/rules"
	"wheatlane/internal/jsontext"
)

// checkFile returns the findings of those layers of the checker that check a single file.
func checkFile(doc map[string]any) ([]check.Finding, error) {
	text, err := faultinjection.Marshal(doc)
	if err != nil {
		return nil, err
	}
	f, findings, err := fileformat.Run("a.json", text)
	if f != nil {
		findings = append(findings, rules.Run(f)...)
	}
	return findings, err
}

// measureFaults measures how many injected faults the checker finds, and how many findings it reports for valid files.
func measureFaults() error {
	const seeds = 2000
	faults := faultinjection.Faults()
	found, falseFindings := 0, 0
	for seed := range uint64(seeds) {
		ok, err := isFound(faults[int(seed)%len(faults)], seed)
		if err != nil {
			return err
		}
		if ok {
			found++
		}
		for _, kind := range []check.FileKind{check.PlatformFile, check.OperatorFile} {
			findings, err := checkFile(faultinjection.ValidConfig(rand.New(rand.NewPCG(seed, 2)), kind))
			if err != nil {
				return err
			}
			falseFindings += len(findings)
		}
	}
	printResult("kinds_of_fault", float64(len(faults)), "kinds")
	printResult("faults_planted", seeds, "faults")
	printResult("faults_found", float64(found), "faults")
	printResult("valid_files", 2*seeds, "files")
	printResult("false_findings", float64(falseFindings), "findings")
	return nil
}

// isFound injects a fault into a valid configuration and reports whether the checker finds it, with the code and the
// path of the fault.
func isFound(fault faultinjection.Fault, seed uint64) (bool, error) {
	rng := rand.New(rand.NewPCG(seed, 1))
	doc := faultinjection.ValidConfig(rng, fault.Kind)
	key := jsontext.FormatPath(fault.Inject(rng, doc)...)
	findings, err := checkFile(doc)
	return slices.ContainsFunc(findings, func(f check.Finding) bool {
		return f.Code == fault.Code && f.Key == key
	}), err
}

// measureCheckTimes measures how long it takes to check the files of a fleet.
func measureCheckTimes() error {
	for _, n := range []int{10, 100, 1000} {
		texts, err := fleetTexts(n)
		if err != nil {
			return err
		}
		start := time.Now()
		findings, err := countFindings(texts)
		if err != nil {
			return err
		}
		printResult(fmt.Sprintf("check_%d_files", n), milliseconds(time.Since(start)), "ms")
		if findings > 0 {
			return fmt.Errorf("checker reported %d findings in %d valid files", findings, n)
		}
	}
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// fleetTexts generates the configuration files of a fleet of n brokers.
func fleetTexts(n int) ([][]byte, error) {
	const brokersPerSubnet = 250
	texts := make([][]byte, n)
	for i := range texts {
		doc := faultinjection.PlatformConfig(rand.New(rand.NewPCG(1, 0)))
		doc["name"], doc["listen"] = fmt.Sprint("n", i), fmt.Sprintf(
			"10.%d.%d.1:6565", i/brokersPerSubnet, i%brokersPerSubnet,
		)
		settings, ok := doc["settings"].(map[string]any)
		if !ok {
			return nil, fmt.Errorf("generated configuration without a settings object: %v", doc)
		}
		settings["PeersTotal"], settings["Position"] = n, i
		text, err := faultinjection.Marshal(doc)
		if err != nil {
			return nil, err
		}
		texts[i] = text
	}
	return texts, nil
}

// countFindings runs all layers of the checker and returns the number of findings.
func countFindings(texts [][]byte) (int, error) {
	files := make([]*check.File, len(texts))
	count := 0
	for i, text := range texts {
		f, findings, err := fileformat.Run(fmt.Sprint(i, ".json"), text)
		if err != nil {
			return 0, err
		}
		files[i] = f
		count += len(findings) + len(rules.Run(f))
	}
	return count + len(fleet.Run(files)), nil
}
