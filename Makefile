# The deploy file is the one place that says how to build and start.
BUILD = $(shell sed -n 's/^build = "\(.*\)".*$$/\1/p' deploy/balancer.toml)
RUN = $(shell sed -n 's/^run = "\(.*\)".*$$/\1/p' deploy/balancer.toml)

.PHONY: build demo test lint run standing measure-telemetry measure-config measure-operator measure-fleet measure-rare measure-soak

build:
	$(BUILD)

demo: build
	bin/wheatlane demo

# TESTFLAGS is empty but where CI passes over the tests of KNOWN-RED.txt.
TESTFLAGS =
test:
	go test -race -count=1 $(if $(TESTFLAGS),'$(TESTFLAGS)') ./...

lint:
	bash .ci/lint

run: build
	$(RUN)

# The fleet's standing test: the mass bench's quick score and its brink days, where the kit is beside this checkout. It
# fails when a gate does. SITE= is the deployment, SEEDS= are the seeds of the brink days.
MASS = ../given/kit/more/mass/bin/lbreal
SITE ?= ../given/kit/sites/reykjavik-main.toml
SEEDS ?= 1 2
standing: build
	@if [ -x $(MASS) ]; then MASS=$(MASS) bash measure/standing.sh $(SITE) $(SEEDS); \
	else echo "standing: skipped, the mass bench is not here ($(MASS))"; fi

measure-telemetry: build
	go run ./measure/telemetry

measure-operator:
	go run ./measure/operator

# Requests sent on for clients that have left, or after a shutdown, over runs on loopback with faults.
measure-rare:
	go run ./measure/edgecases
	go run ./measure/edgecases -copies=false -cancel=false -busy

# Real processes on loopback under overlapping faults, drawn from seeds: docs/operators/soak.md.
SOAK ?= -seed 1 -seeds 4
measure-soak:
	go run ./measure/soak $(SOAK)

measure-config:
	go run ./measure/config

# What a fleet of 80 brokers spends of what it shares, on one day at size, where the fleet bench is beside this checkout.
FLEET = ../given/kit/more/bin/lbreal
DAY ?= join+vast
SEED ?= 3
measure-fleet: build
	@if [ -x $(FLEET) ]; then logs=$$(mktemp -d) && \
	$(FLEET) ../given/kit/sites/reykjavik-main.toml --rough $(DAY) --seed $(SEED) --logs $$logs --why "$${WHY:-make measure-fleet}" | grep -E '^(G |prices:)' && \
	go run ./measure/fleet $$logs; rm -rf $$logs; \
	else echo "measure-fleet: skipped, the fleet bench is not here ($(FLEET))"; fi
