# The commands of the README; each installs the packages it needs.
BUILD ?= build

.PHONY: build demo check fuzz format lint

build:
	tools/install.sh
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD)

demo: build
	tools/demo.sh $(BUILD)

check: build
	tools/check.sh $(BUILD)

fuzz:
	tools/install.sh
	tools/fuzz.sh

format:
	tools/format.sh --fix

lint:
	tools/format.sh
	tools/lint.sh $(BUILD)
