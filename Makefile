# `make run` serves on an embedded local default; `make test` builds and runs
# all tests. Both set up what they need. SANITIZE=address|thread tests a
# sanitizer build.
SANITIZE ?=
BUILD ?= build$(if $(SANITIZE),-$(SANITIZE))
JOBS ?= $(shell nproc)

.PHONY: run test build setup format lint check clean

setup:
	@tools/setup.sh

build: setup
	@cmake -G Ninja -B $(BUILD) -DSANITIZE=$(SANITIZE) $(CMAKE_FLAGS) >/dev/null
	@ninja -C $(BUILD) -j $(JOBS)

run: build
	@tools/run.sh $(BUILD)

test: build
	@tools/test.sh $(BUILD)

# What CI checks besides the tests.
check: build
	@tools/check.sh $(BUILD)

format:
	@git ls-files 'src/*.h' 'src/*.cpp' 'platform/*.h' 'platform/*.cpp' 'tests/*.h' 'tests/*.cpp' | grep -v _generated | xargs clang-format -i

clean:
	@rm -rf build build-address build-thread
