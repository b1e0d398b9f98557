# The targets that README.md and .ci/run use.
GO ?= go

.PHONY: build run smoke unit test race bench curve lint generate docs

build:
	$(GO) build -o bin/ ./cmd/...

run:
	bash scripts/local.sh run

smoke:
	bash scripts/local.sh smoke

unit:
	$(GO) test ./...

# The test command of the README: unit and process tests, then the whole path.
test: smoke unit

race:
	$(GO) test -race -short ./...

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Figures as ratios and counts; fails outside the bounds in the code.
bench:
	$(GO) test -run xxx -bench . -benchtime 1x ./bench
	$(GO) test -run xxx -bench RouteChoice ./bench

# The curve of attainment against moves, docs/day.csv and docs/day.svg.
curve:
	DAY_OUT=$(CURDIR)/docs $(GO) test -run DayCurve -count 1 ./bench

# Needs protoc; the generated code is committed.
generate:
	$(GO) build -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	protoc --plugin=protoc-gen-go=bin/protoc-gen-go --go_out=. --go_opt=module=leverdrum wire/wire.proto

# The pages that are made from the program's tables.
docs: build
	for page in reasons metrics settings fleet; do bin/leverdrum docs $$page > docs/$$(echo $$page | tr a-z A-Z).md; done
