package main

import "time"

// deployment is what the seed of a run determines of its brokers and clients.
type deployment struct {
	timeouts    []time.Duration // of clients, in the order of engineClasses
	reloadDelta time.Duration   // by which every other reload raises the first timeout
	memoryMB    int
	sockets     int
	crowd       int // misbehaving clients at each broker
}

// The deployments differ by the remainders of their seeds, so that a few seeds in a row have all of them.
const (
	shortTimeoutSeeds = 3 // one seed in so many has short timeouts: SIGKILL may come early after SIGTERM
	crowdSeeds        = 4 // one seed in so many has a crowd and the least memory
	crowdOffset       = 1

	leastMemoryMB = 32
	crowdSize     = 60
)

// deploymentOf returns the deployment of a seed.
func deploymentOf(seed uint64) deployment {
	d := deployment{timeouts: clientTimeouts, reloadDelta: time.Second, memoryMB: 64, sockets: 512}
	if seed%shortTimeoutSeeds == 0 {
		d.timeouts = shortClientTimeouts
		d.reloadDelta = 100 * time.Millisecond
	}
	if seed%crowdSeeds == crowdOffset {
		d.memoryMB, d.sockets, d.crowd = leastMemoryMB, 1024, crowdSize
	}
	return d
}

const (
	maxCountedTimeout = 3 * time.Second        // a longer timeout does not delay SIGKILL further
	shutdownGrace     = 700 * time.Millisecond // from the longest timeout to SIGKILL
)

// killAfterTerm returns the earliest time after SIGTERM at which the protocol allows SIGKILL.
func (d deployment) killAfterTerm() time.Duration {
	longest := time.Duration(0)
	for _, timeout := range d.timeouts {
		longest = max(longest, timeout)
	}
	return min(longest, maxCountedTimeout) + shutdownGrace
}
