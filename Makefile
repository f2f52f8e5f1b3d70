# The deploy file is the one place that says how to build and start.
BUILD = $(shell sed -n 's/^build = "\(.*\)".*$$/\1/p' deploy/balancer.toml)
RUN = $(shell sed -n 's/^run = "\(.*\)".*$$/\1/p' deploy/balancer.toml)

.PHONY: build demo test lint run measure-telemetry measure-config

build:
	$(BUILD)

demo: build
	bin/wheatlane demo

test:
	go test -race -count=1 ./...

lint:
	bash .ci/lint

run: build
	$(RUN)

measure-telemetry: build
	go run ./measure/telemetry

measure-config:
	go run ./measure/config
