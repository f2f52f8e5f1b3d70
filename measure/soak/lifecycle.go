package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/emulator/changelogserver"
)

// startAll starts the engines, the change log, the brokers and the clients, in this order.
func (s *soak) startAll(program, dir string) error {
	var err error
	endpoints := make([]changelogserver.Endpoint, 0, s.options.engines)
	for i := range s.options.engines {
		engine := &engineProcess{id: fmt.Sprintf("e-%02d", i)}
		if engine.proxy, err = s.newProxy(); err != nil {
			return err
		}
		if err := s.startEngine(engine); err != nil {
			return err
		}
		s.engines = append(s.engines, engine)
		endpoints = append(endpoints, changelogserver.Endpoint{
			ID: engine.id, Addr: engine.proxy.addr, Site: "east", Class: "std-8core", Share: 4,
		})
	}
	if s.changes, err = changelogserver.New("127.0.0.1:0", endpoints, nil); err != nil {
		return err
	}
	go func() { _ = s.changes.Run(s.processes) }() // ends with the processes
	if err := s.startBrokers(program, dir); err != nil {
		return err
	}
	return s.startClients()
}

// startEngine starts a process for an engine. The process ends with the run at the latest.
func (s *soak) startEngine(engine *engineProcess) error { return engine.start(s.processes, s.report) }

func (s *soak) newProxy() (*proxy, error) {
	p, err := newProxy(s.processes)
	if err == nil {
		s.proxies = append(s.proxies, p)
	}
	return p, err
}

func (s *soak) startBrokers(program, dir string) error {
	var changelogProxies [2]*proxy
	for i := range changelogProxies {
		proxied, err := s.newProxy()
		if err != nil {
			return err
		}
		proxied.setTarget(s.changes.Addr())
		changelogProxies[i] = proxied
	}
	var group errgroup.Group
	for i := range s.options.brokers {
		broker := &brokerSlot{
			name: fmt.Sprint("b", i), program: program, changelogProxies: changelogProxies, changes: s.changes,
			hedging: s.hedging, deployment: s.deployment, fleetSize: s.options.brokers,
			environment: s.brokerEnvironment, onLine: s.processBrokerLine,
		}
		if err := s.prepareBroker(s.processes, broker, dir); err != nil {
			return err
		}
		s.brokers = append(s.brokers, broker)
		group.Go(func() error { return broker.start(s.processes) })
	}
	return group.Wait()
}

// prepareBroker assigns a broker its addresses and creates its folder and its log file.
func (s *soak) prepareBroker(ctx context.Context, broker *brokerSlot, dir string) error {
	var err error
	if broker.listen, err = freeAddress(ctx); err != nil {
		return err
	}
	for i := range broker.adminAddresses {
		if broker.adminAddresses[i], err = freeAddress(ctx); err != nil {
			return err
		}
	}
	broker.dir = filepath.Join(dir, broker.name)
	if err := os.MkdirAll(broker.dir, 0o700); err != nil {
		return err
	}
	if s.options.logs == "" {
		return nil
	}
	broker.log, err = os.Create(filepath.Join(s.options.logs, fmt.Sprintf("seed%d-%s.log", s.options.seed, broker.name)))
	return err
}

func (s *soak) startClients() error {
	addresses := make([]string, 0, len(s.brokers))
	for _, broker := range s.brokers {
		addresses = append(addresses, broker.listen)
	}
	for i := range s.options.clients {
		started, err := startRole(s.processes, s.report, clientsRole, strings.Join(addresses, ","),
			fmt.Sprint(s.options.seed*clientSeedsPerRun+uint64(i)), fmt.Sprint(s.options.rate))
		if err != nil {
			return err
		}
		s.clients = append(s.clients, started)
	}
	return nil
}

const clientExitTimeout = 6 * time.Second // after SIGTERM clients wait for their open requests

// endRun ends the run by SIGTERM to the clients and, once they have ended, to the brokers.
func (s *soak) endRun() {
	for _, p := range s.clients {
		p.signal(terminate)
	}
	for _, p := range s.clients {
		if !p.waitFor(clientExitTimeout) {
			s.addFinding("a client process did not end")
		}
	}
	var group errgroup.Group
	for _, broker := range s.brokers {
		group.Go(func() error {
			if p := broker.current(); p != nil {
				return broker.terminate(p)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		s.addFinding("at the end of the run: %v", err)
	}
}

// endAll kills all remaining processes and closes the proxies.
func (s *soak) endAll() {
	for _, broker := range s.brokers {
		if p := broker.current(); p != nil {
			p.kill()
		}
	}
	for _, p := range s.clients {
		p.kill()
	}
	for _, engine := range s.engines {
		if p := engine.current(); p != nil {
			p.kill()
		}
	}
	for _, p := range s.proxies {
		p.close()
	}
}
