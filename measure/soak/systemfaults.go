package main

import (
	"fmt"
	"syscall"
	"time"
)

// The environment variables that the shims read.
const (
	faultsVariable     = "WHEATLANE_FAULTS"
	clockStepsVariable = "WHEATLANE_CLOCK_STEPS"
)

// systemFault is a system call that fails for a while with an error that Linux documents for it.
type systemFault struct {
	call     string        // name that the shim uses
	errno    syscall.Errno // 0: a short transfer
	perMille int           // share of calls that fail
}

// systemFaults lists the faults that each broker process draws from.
var systemFaults = []systemFault{
	{"accept", syscall.ENFILE, 1000},
	{"accept", syscall.ENOBUFS, 500},
	{"accept", syscall.ECONNABORTED, 500},
	{"socket", syscall.ENFILE, 1000},
	{"socket", syscall.ENOBUFS, 700},
	{"connect", syscall.EADDRNOTAVAIL, 1000},
	{"connect", syscall.ENETUNREACH, 1000},
	{"connect", syscall.EINTR, 300},
	{"read", syscall.EINTR, 300},
	{"read", 0, 700},
	{"read", syscall.ETIMEDOUT, 3},
	{"read", syscall.EHOSTUNREACH, 3},
	{"write", syscall.EINTR, 300},
	{"write", 0, 700},
	{"write", syscall.ETIMEDOUT, 3},
	{"write", syscall.ENOBUFS, 50},
	{"filewrite", syscall.ENOSPC, 1000},
	{"filewrite", 0, 500},
	{"open", syscall.ENFILE, 1000},
	{"open", syscall.EIO, 1000},
	{"rename", syscall.EIO, 1000},
	{"fileread", syscall.EINTR, 500},
}

var clockStepSizes = []time.Duration{
	-time.Hour, -5 * time.Second, -time.Second, 2 * time.Second, 5 * time.Second, time.Hour,
}

const (
	systemFaultsPerProcess = 6
	systemFaultHorizon     = 12 * time.Second // since the start of a process, in which its faults begin
	maxSystemFaultDuration = 1500 * time.Millisecond
	maxShimSeed            = 1 << 30
	clockStepOdds          = 2 // one in so many processes has a clock step
	minClockStepDelay      = time.Second
)

// breaksConnection reports whether the fault ends a connection, so that the broker can send no more answers on it.
func (f systemFault) breaksConnection() bool {
	return f.errno == syscall.ETIMEDOUT || f.errno == syscall.EHOSTUNREACH
}

// brokerEnvironment draws the system call faults and the clock steps of a broker's next process, and returns them as
// environment variables.
func (s *soak) brokerEnvironment(broker *brokerSlot) []string {
	if !s.options.shims {
		return nil
	}
	text := fmt.Sprint(s.draw(maxShimSeed))
	for range systemFaultsPerProcess {
		drawn := systemFaults[s.draw(len(systemFaults))]
		from := s.drawDuration(systemFaultHorizon)
		to := from + s.drawDuration(maxSystemFaultDuration)
		text += fmt.Sprintf(";%s@%d-%d=%d:%d",
			drawn.call, from.Milliseconds(), to.Milliseconds(), drawn.errno, drawn.perMille)
		if drawn.breaksConnection() {
			breaks := span{time.Now().Add(from), time.Now().Add(to + settleTime)}
			s.updateHistory(func(h *history) {
				h.connectionBreaks[broker.listen] = append(h.connectionBreaks[broker.listen], breaks)
			})
		}
	}
	steps := ""
	if s.draw(clockStepOdds) == 0 {
		at := minClockStepDelay + s.drawDuration(systemFaultHorizon)
		size := clockStepSizes[s.draw(len(clockStepSizes))]
		steps = fmt.Sprintf("%d:%d", at.Milliseconds(), size.Milliseconds())
	}
	return []string{faultsVariable + "=" + text, clockStepsVariable + "=" + steps}
}
