# Targets for people and CI. See README.md.
GO ?= go

.PHONY: build test format lint ci demo faults measure fuzz generate clean runs soak rename

build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) test ./...

# Lists files that the formatter would change, and fails if there are any.
format:
	@files=$$($(GO) tool gofumpt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$\|\.twirp\.go$$')); \
	if [ -n "$$files" ]; then echo "not formatted:"; echo "$$files"; exit 1; fi

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) tool revive -config revive.toml -exclude ./control/control.pb.go -exclude ./control/control.twirp.go ./...

# Renames the identifier at AT (FILE:LINE:COLUMN) to TO, and every use of it.
rename:
	$(GO) run golang.org/x/tools/gopls@v0.22.0 rename -w $(AT) $(TO)

# Runs the whole system on loopback; see scripts/demo.sh.
demo:
	@scripts/demo.sh

# Fuzzes each decoder for FUZZTIME. A crash leaves its input in testdata/fuzz,
# which `make test` runs from then on.
FUZZTIME ?= 10s
FUZZWORKERS ?= 4
FUZZ = $(GO) test -run '^$$' -fuzztime $(FUZZTIME) -parallel $(FUZZWORKERS)

fuzz:
	$(FUZZ) -fuzz '^FuzzDecode$$' ./packet
	$(FUZZ) -fuzz '^FuzzDecodeEnvelope$$' ./packet
	$(FUZZ) -fuzz '^FuzzDecodeObject$$' ./record
	$(FUZZ) -fuzz '^FuzzDecodePacket$$' ./platform
	$(FUZZ) -fuzz '^FuzzDecode$$' ./fleet
	$(FUZZ) -fuzz '^FuzzOpen$$' ./token

# Plays every fault at every step with a fake clock, one line a cell, and then
# COUNT generated pairs of faults. SEED chooses both; `make test` plays seed 1.
SEED ?= 1
COUNT ?= 300

faults:
	@$(GO) test -c -o bin/faults.test ./instance
	@cd instance && ../bin/faults.test -test.run '^TestFault' -cells -seed $(SEED) -count $(COUNT)

# Runs the whole system with real processes once for each fault; FAULTS names some.
runs:
	@scripts/runs.sh $(FAULTS)

# Runs forwarders as processes and breaks things around them, for SEEDS seeds from
# SEED on. Logs of failed seeds are kept.
SEEDS ?= 5

soak: build
	bin/tanagerdock-soak -seed $(SEED) -seeds $(SEEDS)

# Rewrites the generated code in control/; needs protoc and its two plugins.
generate:
	protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative control/control.proto

# Measures on this machine and prints name=value lines; see docs/MEASUREMENTS.md.
# MEASURE names the measurements.
MEASURE ?= relay flows control slopes

measure: build
	@for m in $(MEASURE); do echo "# $$m"; bin/tanagerdock-measure $$m || exit 1; done

clean:
	rm -rf bin
