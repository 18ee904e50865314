BIN := bin

.PHONY: build test lint demo faults capacity

build:
	go build -o $(BIN)/ ./cmd/...

test:
	go test -race ./...

lint:
	@files=$$(gofmt -l .); if [ -n "$$files" ]; then echo "gofmt: $$files"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

demo: build
	$(BIN)/gypsumtide-demo --bin $(BIN)

# Runs fault schedules with the seeds 1 to GYPSUMTIDE_SEEDS.
faults: build
	GYPSUMTIDE_SEEDS=$${GYPSUMTIDE_SEEDS:-20} go test -v -count 1 -timeout 2h -run TestSeeds ./internal/standin/schedule
