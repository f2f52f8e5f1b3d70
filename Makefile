# The deploy file is the one place that says how to build and start.
BUILD = $(shell sed -n 's/^build = "\(.*\)".*$$/\1/p' deploy/balancer.toml)
RUN = $(shell sed -n 's/^run = "\(.*\)".*$$/\1/p' deploy/balancer.toml)

.PHONY: build test lint run

build:
	$(BUILD)

test:
	go test -race -count=1 ./...

lint:
	bash .ci/lint

run: build
	$(RUN)
