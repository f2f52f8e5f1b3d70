# The deploy file is the one place that says how to build and start.
BUILD = $(shell sed -n 's/^build = "\(.*\)".*$$/\1/p' deploy/balancer.toml)
RUN = $(shell sed -n 's/^run = "\(.*\)".*$$/\1/p' deploy/balancer.toml)

.PHONY: build demo test lint run standing measure-telemetry measure-config measure-operator

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

# The fleet's standing test: the mass bench's quick score, where the kit is beside this checkout.
MASS = ../given/kit/more/mass/bin/lbreal
standing: build
	@if [ -x $(MASS) ]; then $(MASS) score ../given/kit/sites/reykjavik-main.toml --quick --why "$${WHY:-standing test}"; \
	else echo "standing: skipped, the mass bench is not here ($(MASS))"; fi

measure-telemetry: build
	go run ./measure/telemetry

measure-operator:
	go run ./measure/operator

measure-config:
	go run ./measure/config
