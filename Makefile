.PHONY: test format lint unit race demo generate build measure measure-added

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

unit:
	go test -count=1 -timeout 300s ./...

race:
	go test -race -count=1 -timeout 900s ./...

demo: build
	./bin/demo

measure: build
	./bin/measure

measure-added: build
	./bin/measure-added --repeat 3

# Needs buf, protoc-gen-go and protoc-gen-connect-go on the PATH; the generated code is committed.
generate:
	cd proto && buf generate
