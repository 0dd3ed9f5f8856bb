# Common tasks. CONFIG is the configuration file for `make run`.
CONFIG ?= $(LB_CONFIG)

.PHONY: build demo test lint run

build:
	cargo build --release --locked

# Two real proxies, four nodes and their clients on loopback; SECONDS_SHOWN is the duration.
SECONDS_SHOWN ?= 120
demo: build
	target/release/dewhead-lab demo --seconds $(SECONDS_SHOWN)

test:
	bash .ci/tests

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	target/release/dewhead serve --config $(CONFIG)
