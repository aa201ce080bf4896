# Targets for developers and CI. See README.md.
GO ?= go

.PHONY: build test format lint ci demo faults measure fuzz generate clean runs soak rename

build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) test ./...

# Lists the files that the formatter would change, and fails if there are any.
format:
	@files=$$($(GO) tool gofumpt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$\|\.twirp\.go$$')); \
	if [ -n "$$files" ]; then echo "not formatted:"; echo "$$files"; exit 1; fi

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) tool revive -config revive.toml -exclude ./control/control.pb.go -exclude ./control/control.twirp.go ./...

# Renames the identifier at AT (FILE:LINE:COLUMN) and all its uses to TO.
rename:
	$(GO) run golang.org/x/tools/gopls@v0.22.0 rename -w $(AT) $(TO)

# Runs the whole system on loopback; see scripts/demo.sh.
demo:
	@scripts/demo.sh

# Fuzzes each decoder for FUZZTIME. The input of a failure is saved in testdata/fuzz,
# and `make test` runs it from then on.
FUZZTIME ?= 10s
FUZZWORKERS ?= 4
FUZZ = $(GO) test -run '^$$' -fuzztime $(FUZZTIME) -parallel $(FUZZWORKERS)

fuzz:
	$(FUZZ) -fuzz '^FuzzDecode$$' ./packet
	$(FUZZ) -fuzz '^FuzzDecodeEnvelope$$' ./packet
	$(FUZZ) -fuzz '^FuzzDecodeObject$$' ./record
	$(FUZZ) -fuzz '^FuzzDecodePacket$$' ./platform
	$(FUZZ) -fuzz '^FuzzDecodeAnswer$$' ./platform
	$(FUZZ) -fuzz '^FuzzDecode$$' ./fleet
	$(FUZZ) -fuzz '^FuzzOpen$$' ./token

# Runs the fault tests of package instance on a fake clock: every fault at every step,
# with a line of output for each combination, and then COUNT generated pairs of faults.
# SEED is the seed of both; `make test` uses seed 1.
SEED ?= 1
COUNT ?= 300

faults:
	@$(GO) test -c -o bin/faults.test ./instance
	@cd instance && ../bin/faults.test -test.run '^TestFault' -cells -seed $(SEED) -count $(COUNT)

# Runs the whole system with real processes once for each fault, or for those that
# FAULTS names; see scripts/runs.sh.
runs:
	@scripts/runs.sh $(FAULTS)

# Runs forwarders as processes and injects faults, for SEEDS consecutive seeds that begin
# with SEED. Logs of failed seeds are kept.
SEEDS ?= 5

soak: build
	bin/tanagerdock-soak -seed $(SEED) -seeds $(SEEDS)

# Regenerates the code in control/; needs protoc, protoc-gen-go and protoc-gen-twirp.
generate:
	protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative control/control.proto

# Runs the measurements that MEASURE names on this machine and prints name=value lines;
# see docs/MEASUREMENTS.md.
MEASURE ?= relay flows control slopes

measure: build
	@for m in $(MEASURE); do echo "# $$m"; bin/tanagerdock-measure $$m || exit 1; done

clean:
	rm -rf bin
