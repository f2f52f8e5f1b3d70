package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"wheatlane/internal/emulator/pacing"
	"wheatlane/internal/emulator/rawclient"
)

const (
	crowdReconnectInterval = 500 * time.Millisecond
	crowdPartInterval      = 50 * time.Millisecond // between the parts of a message that is written slowly
	crowdMessageBytes      = 60_000
	memoryCheckInterval    = 100 * time.Millisecond
	kilobytesPerMegabyte   = 1024
)

// startCrowds starts the misbehaving clients of all brokers, and watches the memory of these. They end with ctx.
func (s *soak) startCrowds(ctx context.Context) {
	for _, broker := range s.brokers {
		for i := range s.deployment.crowd {
			go joinCrowd(ctx, broker.listen, i)
		}
		go s.watchMemory(ctx, broker)
	}
}

const (
	minWaveTime   = 300 * time.Millisecond
	waveTimeRange = 700 * time.Millisecond
)

// sendCrowdWave lets a crowd of misbehaving clients come to a broker at once, and leave at once.
func (s *soak) sendCrowdWave(ctx context.Context) error {
	broker := s.brokers[s.draw(len(s.brokers))]
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	for i := range crowdSize {
		go joinCrowd(ctx, broker.listen, i)
	}
	pacing.Pause(ctx, minWaveTime+s.drawDuration(waveTimeRange))
	return nil
}

// joinCrowd is one misbehaving client. It connects again whenever its connection ends.
func joinCrowd(ctx context.Context, address string, number int) {
	for ; ctx.Err() == nil; pacing.Pause(ctx, crowdReconnectInterval) {
		session, err := rawclient.Dial(ctx, address)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, session.Close)
		misbehave(ctx, session, number)
		stop()
		session.Close()
	}
}

// misbehave holds half of a login, half of a large message, or writes a large message slowly, by the client's number.
func misbehave(ctx context.Context, session *rawclient.Session, number int) {
	message := rawclient.QueryPacket("/* service=lookup,allow=1000 */ " + strings.Repeat("x", crowdMessageBytes))
	switch number % 3 {
	case 0:
		if session.Write(rawclient.LoginPacket()[:10]) == nil {
			session.WaitForShutdown()
		}
	case 1:
		if session.Write(append(rawclient.LoginPacket(), message[:len(message)/2]...)) == nil {
			waitUntilEnded(session)
		}
	default:
		if session.Write(rawclient.LoginPacket()) != nil {
			return
		}
		for len(message) > 0 && ctx.Err() == nil {
			n := min(len(message), crowdMessageBytes/100)
			if session.Write(message[:n]) != nil {
				return
			}
			message = message[n:]
			pacing.Pause(ctx, crowdPartInterval)
		}
	}
}

// waitUntilEnded reads until the connection ends.
func waitUntilEnded(session *rawclient.Session) {
	for {
		if _, err := session.ReadPacket(); err != nil {
			return
		}
	}
}

// watchMemory adds a finding for each process of a broker whose resident size has reached the broker's limit.
func (s *soak) watchMemory(ctx context.Context, broker *brokerSlot) {
	reported := map[int]bool{}
	for ; ctx.Err() == nil; pacing.Pause(ctx, memoryCheckInterval) {
		p := broker.current()
		if p == nil || reported[p.cmd.Process.Pid] {
			continue
		}
		peak := peakResidentKB(p.cmd.Process.Pid)
		if peak >= s.deployment.memoryMB*kilobytesPerMegabyte {
			reported[p.cmd.Process.Pid] = true
			s.addFinding("%s: %d KB resident with a limit of %d MB", broker.name, peak, s.deployment.memoryMB)
		}
	}
}

// peakResidentKB returns the largest resident size of a process, 0 if it has ended.
func peakResidentKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	value, _, _ := strings.Cut(after, "kB")
	kb, _ := strconv.Atoi(strings.TrimSpace(value)) // 0 for a process that is about to end
	return kb
}
