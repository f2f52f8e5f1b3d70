package server

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"wheatlane/internal/broker"
	"wheatlane/internal/config"
	"wheatlane/internal/peerprocess"
	"wheatlane/internal/server/clock"
)

const (
	// processesFile is the name of the file that the processes of a broker share.
	processesFile = "wheatlane-processes-%s-%s"
	// heartbeatInterval is the minimum time between two heartbeats.
	heartbeatInterval = 50 * time.Millisecond
)

// openProcesses joins the processes of a broker, or returns this one alone if they can't share a file.
func openProcesses(cfg config.Config, log *zap.Logger) *peerprocess.Processes {
	if cfg.HandoverPath == "" {
		return peerprocess.New()
	}
	listen := strings.ReplaceAll(cfg.Listen, "/", "_")
	processes, err := peerprocess.Open(filepath.Join(cfg.HandoverPath, fmt.Sprintf(processesFile, cfg.Name, listen)))
	if err != nil {
		log.Warn("KILL is not passed on to another process of the broker", zap.Error(err))
		return peerprocess.New()
	}
	return processes
}

// peerKills passes on KILL between the processes of this broker. It implements broker.PeerProcesses. Its methods must
// be called in the loop.
type peerKills struct {
	processes *peerprocess.Processes
	loop      *eventLoop
	log       *zap.Logger
	awaited   []awaitedKill
	beatAt    time.Duration
}

// awaitedKill is a kill that was passed on and not answered.
type awaitedKill struct {
	requestedBy broker.Session
	sent        peerprocess.Sent
}

// ForwardKill implements broker.PeerProcesses.
func (k *peerKills) ForwardKill(kill broker.Kill) bool {
	sent, ok := k.processes.Send(peerprocess.Kill{
		Target: uint32(kill.Target), CloseConnection: kill.CloseConnection,
		SentAt: kill.SentAt + peerprocess.Now() - clock.Now(),
	})
	if ok {
		k.awaited = append(k.awaited, awaitedKill{requestedBy: kill.RequestedBy, sent: sent})
	}
	return ok
}

// exchange handles what the other processes have sent, and the answers to what was sent to them.
func (k *peerKills) exchange() {
	if now := clock.Now(); now-k.beatAt >= heartbeatInterval {
		k.beatAt = now
		k.processes.Beat()
	}
	k.processes.Receive(k.receive)
	var answered []broker.KillAnswered
	k.awaited = slices.DeleteFunc(k.awaited, func(awaited awaitedKill) bool {
		answer := awaited.sent.Answer()
		if answer == peerprocess.Pending {
			return false
		}
		known := answer == peerprocess.Known
		answered = append(answered, broker.KillAnswered{Session: awaited.requestedBy, Known: known})
		return true
	})
	for _, answer := range answered {
		k.loop.apply(answer)
	}
}

// receive applies a kill that another process has sent, and reports whether this process knows the session.
func (k *peerKills) receive(kill peerprocess.Kill) (known bool) {
	target := broker.Session(kill.Target)
	known = k.loop.reducer.HasSession(target)
	k.log.Info("KILL received from another process", zap.Uint32("session", kill.Target), zap.Bool("known", known))
	if known {
		k.loop.apply(broker.PeerKill{
			Target: target, CloseConnection: kill.CloseConnection,
			SentAt: kill.SentAt + clock.Now() - peerprocess.Now(),
		})
	}
	return known
}
