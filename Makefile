# anvilgate: `make` builds, `make demo` shows, `make check` tests.

BUILD ?= build/release
# `make V=1` shows the commands.
Q = $(if $(V),,@)
CC = gcc
PACKAGES = glib-2.0 libevent msgpack popt libcyaml jansson libxxhash

# The packages are installed by a target, so pkg-config is only asked when a rule runs.
CFLAGS_BASE = -std=gnu11 -g -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
  -Wno-unused-parameter -Wno-missing-field-initializers -Werror -Iinclude -Isource -I. -Itests -Itests/fuzz -MMD -MP
CFLAGS_MODE ?= -O2
CFLAGS = $(CFLAGS_BASE) $(CFLAGS_MODE) $(CFLAGS_EXTRA) $(shell pkg-config --cflags $(PACKAGES))
LDLIBS = $(shell pkg-config --libs $(PACKAGES)) -lyaml -lhttp_parser -lm
LDFLAGS_MODE ?=

LAYERS = core config steer net
LIBRARY_SOURCES = $(foreach layer,$(LAYERS),$(wildcard source/$(layer)/*.c))
LIBRARY_OBJECTS = $(LIBRARY_SOURCES:%.c=$(BUILD)/%.o)
LIBRARY = $(BUILD)/libanvil.a

ENTRY_OBJECTS = $(patsubst %.c,$(BUILD)/%.o,$(wildcard source/entry/*.c))
# The daemon for upstreams that register themselves, and the adapter to the users' platform.
RELAY_OBJECTS = $(patsubst %.c,$(BUILD)/%.o,$(wildcard source/relay/*.c platform/*.c))
TOOL_NAMES = anvil-config anvil-status anvil-load
STANDIN_NAMES = anvil-platform anvil-upstream anvil-store anvil-registrant
TEST_NAMES = $(basename $(notdir $(wildcard tests/test-*.c)))
BENCH_NAMES = $(basename $(notdir $(wildcard bench/bench-*.c)))

standin_objects = $(patsubst %.c,$(BUILD)/%.o,$(wildcard standins/$(1).c standins/$(1)-*.c)) $(BUILD)/standins/endless.o

PROGRAMS = $(BUILD)/bin/anvil-entry $(BUILD)/bin/anvil-relay \
  $(foreach name,$(TOOL_NAMES),$(if $(wildcard source/tools/$(name).c),$(BUILD)/bin/$(name))) \
  $(foreach name,$(STANDIN_NAMES),$(if $(wildcard standins/$(name).c),$(BUILD)/bin/$(name)))
TESTS = $(TEST_NAMES:%=$(BUILD)/tests/%)
BENCHES = $(BENCH_NAMES:%=$(BUILD)/bench/%)

# Shared by test programs.
HELPER_OBJECTS = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/helper-*.c))

# Shared by the fuzzer and the benchmark.
FAKE_OBJECTS = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/fuzz/fake-*.c))
# The parts of the tools, without their mains; an archive, so that a program links only what it uses.
TOOL_PARTS = $(patsubst %.c,$(BUILD)/%.o,$(filter-out $(TOOL_NAMES:%=source/tools/%.c),$(wildcard source/tools/*.c)))
TOOL_LIBRARY = $(BUILD)/libanvil-tools.a
# Oracles and the operations that a history is made of.
WORLD_OBJECTS = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/fuzz/oracle*.c tests/fuzz/world*.c))

all: $(PROGRAMS)

packages:
	@scripts/install-packages

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(Q)$(CC) $(CFLAGS) -c -o $@ $<

$(LIBRARY): $(LIBRARY_OBJECTS)
	@rm -f $@
	$(Q)ar rcs $@ $^

$(TOOL_LIBRARY): $(TOOL_PARTS)
	@rm -f $@
	$(Q)ar rcs $@ $^

define link_rule
$(BUILD)/bin/$(1): $(2) $(LIBRARY)
	@mkdir -p $$(@D)
	$(Q)$$(CC) $$(LDFLAGS_MODE) -o $$@ $$^ $$(LDLIBS)
endef

$(eval $(call link_rule,anvil-entry,$(ENTRY_OBJECTS)))
$(eval $(call link_rule,anvil-relay,$(RELAY_OBJECTS)))
$(foreach name,$(TOOL_NAMES),$(eval $(call link_rule,$(name),$(BUILD)/source/tools/$(name).o $(TOOL_LIBRARY))))
$(foreach name,$(STANDIN_NAMES),$(eval $(call link_rule,$(name),$(call standin_objects,$(name)))))

# A test may reach the daemons' tasks, but not their mains.
$(BUILD)/tests/%: $(BUILD)/tests/%.o $(filter-out %/anvil-entry.o,$(ENTRY_OBJECTS)) $(filter-out %/anvil-relay.o,$(RELAY_OBJECTS)) $(HELPER_OBJECTS) $(BUILD)/bench/common-holder.o $(BUILD)/standins/endless.o $(FAKE_OBJECTS) $(WORLD_OBJECTS) $(TOOL_LIBRARY) $(LIBRARY)
	@mkdir -p $(@D)
	$(Q)$(CC) $(LDFLAGS_MODE) -o $@ $^ $(LDLIBS) $(shell pkg-config --libs check)

$(BUILD)/bench/%: $(BUILD)/bench/%.o $(patsubst %.c,$(BUILD)/%.o,$(wildcard bench/common-*.c) tests/helper-quota.c) $(filter-out %/anvil-entry.o,$(ENTRY_OBJECTS)) $(filter-out %/anvil-relay.o,$(RELAY_OBJECTS)) $(FAKE_OBJECTS) $(LIBRARY)
	@mkdir -p $(@D)
	$(Q)$(CC) $(LDFLAGS_MODE) -o $@ $^ $(LDLIBS)

# It uses the simulation of the dispatcher's tests.
$(BUILD)/bench/bench-uneven: $(BUILD)/tests/helper-dispatch.o

$(BUILD)/fuzz/fuzz-steer: $(BUILD)/tests/fuzz/fuzz-steer.o $(FAKE_OBJECTS) $(WORLD_OBJECTS) $(LIBRARY)
	@mkdir -p $(@D)
	$(Q)$(CC) $(LDFLAGS_MODE) -o $@ $^ $(LDLIBS)

# libFuzzer comes with clang and instruments every part, so it has a build of its own.
FUZZ_BUILD = build/fuzz
FUZZ_FLAGS = -fsanitize=fuzzer-no-link,address,undefined
$(FUZZ_BUILD)/fuzz/fuzz-coverage: $(BUILD)/tests/fuzz/fuzz-coverage.o $(FAKE_OBJECTS) $(WORLD_OBJECTS) $(LIBRARY)
	@mkdir -p $(@D)
	$(Q)$(CC) -fsanitize=fuzzer,address,undefined -o $@ $^ $(LDLIBS)

$(BUILD)/soak/soak: $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/soak/*.c) source/relay/http-status.c) $(patsubst %,$(BUILD)/tests/helper-%.o,fleet fault-proxy ports) $(LIBRARY)
	@mkdir -p $(@D)
	$(Q)$(CC) $(LDFLAGS_MODE) -o $@ $^ $(LDLIBS) $(shell pkg-config --libs check)

tests: $(TESTS) $(BUILD)/soak/soak
benches: $(BENCHES)

check: packages
	@$(MAKE) --no-print-directory -j$$(nproc) all tests
	@scripts/run-tests $(BUILD)

# make fuzz SEED=1 STEPS=100000; HISTORY= replays what a failure printed, FAULT= switches a
# mechanism off.
fuzz: packages
	@$(MAKE) --no-print-directory -j$$(nproc) $(BUILD)/fuzz/fuzz-steer
	@$(BUILD)/fuzz/fuzz-steer --seed $(or $(SEED),1) --steps $(or $(STEPS),10000) \
	  --history "$(HISTORY)" --fault "$(FAULT)"

# make fuzz-coverage SECONDS=60; inputs that reach new code are kept in build/fuzz/corpus.
fuzz-coverage: packages
	@$(MAKE) --no-print-directory -j$$(nproc) BUILD=$(FUZZ_BUILD) CC=clang \
	  CFLAGS_MODE="-O1 $(FUZZ_FLAGS)" $(FUZZ_BUILD)/fuzz/fuzz-coverage
	@mkdir -p $(FUZZ_BUILD)/corpus
	@$(FUZZ_BUILD)/fuzz/fuzz-coverage -max_len=1600 -len_control=0 -max_total_time=$(or $(SECONDS),60) $(FUZZ_BUILD)/corpus

# make bench BENCH_ARGS="--json"
bench: packages
	@$(MAKE) --no-print-directory -j$$(nproc) benches
	@$(BUILD)/bench/bench-steer $(BENCH_ARGS)
	@$(BUILD)/bench/bench-lookup-http
	@$(BUILD)/bench/bench-repeats
	@$(BUILD)/bench/bench-uneven
	@$(BUILD)/bench/bench-quota
	@$(BUILD)/bench/bench-holder

# make soak SEED=1 SECONDS=30; SOAK_ARGS="--entries 12 --upstreams 60 --rate 400" for a larger one.
soak: packages
	@$(MAKE) --no-print-directory -j$$(nproc) all $(BUILD)/soak/soak
	@ANVIL_BIN=$(BUILD)/bin $(BUILD)/soak/soak --seed $(or $(SEED),1) --seconds $(or $(SECONDS),30) $(SOAK_ARGS)

# Slopes for docs/CAPACITY.md.
CAPACITY_NAMES = $(filter bench-capacity-%,$(BENCH_NAMES))
capacity: packages
	@$(MAKE) --no-print-directory -j$$(nproc) $(CAPACITY_NAMES:%=$(BUILD)/bench/%)
	@for name in $(CAPACITY_NAMES); do echo "== $$name"; $(BUILD)/bench/$$name || exit 1; done

demo: packages
	@$(MAKE) --no-print-directory -j$$(nproc) all
	@BUILD=$(BUILD) scripts/demo $(or $(DEPLOYMENT),labka)

format:
	scripts/format-sources

lint: packages
	scripts/lint-sources $(BUILD)

clean:
	rm -rf build

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

.PHONY: all packages tests benches check fuzz fuzz-coverage bench capacity soak demo format lint clean
.SECONDARY:
