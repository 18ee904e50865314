BIN := bin

.PHONY: build test lint demo capacity

build:
	go build -o $(BIN)/ ./cmd/...

test:
	go test -race ./...

lint:
	@files=$$(gofmt -l .); if [ -n "$$files" ]; then echo "gofmt: $$files"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...
