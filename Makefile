.PHONY: test format lint unit race demo demo-platform generate build measure measure-added

# The Go files that gofmt checks; generated code is included because the generators format it.
GO_FILES := $(shell git ls-files -co --exclude-standard '*.go')

build:
	go build -o bin/ ./cmd/...

test: format lint unit

format:
	@out="$$(gofmt -l $(GO_FILES))"; if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

lint:
	go vet ./...
	go tool staticcheck ./...

# The tests of whole fleets, and those of processes with callers outside the limits, run alone: their processes keep time with
# each other over real sockets, and other packages' tests would take the processor away from them.
FLEET_TESTS := ./proof ./rehearsal ./soak ./overlimit

# The tests listed in KNOWN-RED.txt, which are passed over and printed: those of fleets, and the others. Tests of two
# packages may share a name, so each list is passed over in its own packages only.
KNOWN_RED := $(shell sed -n 's/^\(Test[A-Za-z]*\), of package \(proof\|rehearsal\|soak\|overlimit\),.*/\1/p' KNOWN-RED.txt | paste -sd'|')
KNOWN_RED_UNIT := $(shell sed -n '/of package \(proof\|rehearsal\|soak\|overlimit\),/d; s/^\(Test[A-Za-z]*\),.*/\1/p' KNOWN-RED.txt | paste -sd'|')

# The tests of platform mostly wait: the whole package took 302 s beside load. They run in two processes side by side, each of
# which plays the tests that the other leaves out.
PLATFORM_FIRST := ^Test[A-E]

unit:
	go test -count=1 -timeout 300s -skip '^($(KNOWN_RED_UNIT))$$' $$(go list ./... | grep -v -e /proof$$ -e /rehearsal$$ -e /soak$$ -e /overlimit$$ -e fulmarhitch/platform$$)
	go test -count=1 -timeout 300s -skip '^($(KNOWN_RED_UNIT))$$' -run '$(PLATFORM_FIRST)' ./platform & first=$$!; \
	go test -count=1 -timeout 300s -skip '^($(KNOWN_RED_UNIT))$$|$(PLATFORM_FIRST)' ./platform; rest=$$?; \
	wait $$first && exit $$rest
	@cat KNOWN-RED.txt
	go test -count=1 -timeout 300s -p 1 -skip '^($(KNOWN_RED))$$' $(FLEET_TESTS)

race:
	go test -race -count=1 -timeout 900s $$(go list ./... | grep -v -e /proof$$ -e /rehearsal$$ -e /soak$$ -e /overlimit$$)
	go test -race -count=1 -timeout 900s -p 1 $(FLEET_TESTS)

demo: build
	./bin/demo

demo-platform: build
	./bin/demo-platform

measure: build
	./bin/measure

measure-added: build
	./bin/measure-added --repeat 3

# Needs buf, protoc-gen-go and protoc-gen-connect-go on the PATH; the generated code is committed.
generate:
	cd proto && buf generate
