# Commands of the project; `make trial` runs it, `make test` passes the tests.
STATICCHECK := honnef.co/go/tools/cmd/staticcheck@v0.8.2
BINARIES := poppywall-balancer poppywall-agent poppywallctl poppywall-load poppywall-trial poppywall-standin
VERSION := $(shell git describe --always --dirty 2>/dev/null || echo dev)
LDFLAGS := -X github.com/poppywall/poppywall/telemetry.Version=$(VERSION)
MODULES = $(patsubst %/go.mod,./%/...,$(wildcard */go.mod))

export CGO_ENABLED = 1

.PHONY: trial test fuzz build lint capacity ejection choice bench experiments modules

trial: build
	bin/poppywall-trial

build:
	@mkdir -p bin
	@for b in $(BINARIES); do go build -ldflags '$(LDFLAGS)' -o bin/$$b ./binaries/$$b || exit 1; done

test: build
	go test -count=1 -timeout 9m work

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo "gofmt differs"; exit 1; }
	go vet work
	go run $(STATICCHECK) $(MODULES)

modules:
	tools/modules.sh
