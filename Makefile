CHAOS_SECONDS ?= 45
CHAOS_SEEDS ?= 1 2 3 4 5

.PHONY: all build capacity chaos check format generate lint reference soak test tools

MODULES := $(shell go list -m)
MODULE_ROOT := github.com/nutmegway/nutmegway
# Every module of the workspace as a package pattern.
PACKAGES := $(patsubst %,%/...,$(MODULES))
LINT_PATHS := $(patsubst $(MODULE_ROOT)%,.%/...,$(MODULES))
BIN := $(CURDIR)/bin
GOLANGCI_LINT_VERSION := v2.15.0
TEST_FLAGS ?= -race

all: build

build:
	go build -o $(BIN)/ ./cmd/...

# Verdict of CI: formatter, linter, tests.
check: lint test

format: tools
	$(BIN)/golangci-lint fmt

generate: tools
	PATH="$(BIN):$$PATH" $(BIN)/buf generate

lint: tools
	$(BIN)/golangci-lint fmt --diff
	$(BIN)/golangci-lint run --allow-parallel-runners $(LINT_PATHS)

# Renews the pages of the reference that are written from the code.
reference:
	sed -i '/^| kind /,$$d' docs/reference/errors.md
	go run ./cmd/nutmegway errors >> docs/reference/errors.md
	sed -i '/^```text/,$$d' docs/reference/commands.md
	{ echo '```text'; go run ./cmd/nutmegway --help-long; echo '```'; } >> docs/reference/commands.md
	go run ./cmd/nutmegway-lab reference

# TEST_SKIP holds names of tests with a bar between them.
test:
	go test $(TEST_FLAGS) $(if $(TEST_SKIP),-skip '^($(TEST_SKIP))$$') $(PACKAGES)

tools: $(BIN)/golangci-lint $(BIN)/buf $(BIN)/protoc-gen-go $(BIN)/protoc-gen-go-grpc

# The linter's module graph names modules that not every proxy serves, so it
# is installed by version and not through a module of tools.
$(BIN)/golangci-lint:
	GOWORK=off GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

$(BIN)/buf: tools/buf/go.mod
	cd tools/buf && GOWORK=off go build -o $@ github.com/bufbuild/buf/cmd/buf

$(BIN)/protoc-gen-go: tools/protoc-gen-go/go.mod
	cd tools/protoc-gen-go && GOWORK=off go build -o $@ google.golang.org/protobuf/cmd/protoc-gen-go

$(BIN)/protoc-gen-go-grpc: tools/protoc-gen-go-grpc/go.mod
	cd tools/protoc-gen-go-grpc && GOWORK=off go build -o $@ google.golang.org/grpc/cmd/protoc-gen-go-grpc

# Measures how costs grow and renews the table of the page.
capacity: build
	$(BIN)/nutmegway-lab capacity --page docs/CAPACITY.md

# The promises under long random schedules, with the entry hosts as processes.
chaos: build
	for deployment in brazos halvorsen; do for seed in $(CHAOS_SEEDS); do \
		$(BIN)/nutmegway-lab chaos --processes --deployment $$deployment --seconds $(CHAOS_SECONDS) --seed $$seed 2>/dev/null || exit 1; \
	done; done

# The same on the users' platform. Seeds differ from run to run unless they are given.
SOAK_SECONDS ?= 42
SOAK_SEEDS ?= $(shell date +%s)
soak: build
	for seed in $(SOAK_SEEDS); do \
		$(BIN)/nutmegway-lab soak --seconds $(SOAK_SECONDS) --seed $$seed 2>/dev/null || exit 1; \
	done
