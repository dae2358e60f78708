# Targets for users and for CI. Each is described in README.md.
GO ?= go

.PHONY: build test demo run measure fmt lint clean

build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) test -race -timeout 20m ./...

demo: build
	./bin/bulrush-bench demo

run: build
	./bin/bulrush-bench demo --keep

measure: build
	./bin/bulrush-bench measure --append docs/measurements.md --commit $(shell git rev-parse --short HEAD)

fmt:
	$(GO) tool gofumpt -w .

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

clean:
	rm -rf bin out
