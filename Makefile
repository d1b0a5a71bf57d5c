# mimosawind
#
#   make            the library, the daemons and the command line tool
#   make demo       an example's job list in three zones on loopback
#   make check      the scripted tests, built with warnings as errors
#   make lint       formatter, linters, and the core's external symbols

CC = gcc
BUILD = build
PACKAGES = glib-2.0 libuv libprotobuf-c jansson zlib argtable2 yaml-0.1
PKG_CFLAGS := $(shell pkg-config --cflags $(PACKAGES) 2>/dev/null)
# http_parser has no entry in pkg-config
PKG_LIBS := $(shell pkg-config --libs $(PACKAGES) 2>/dev/null) -lhttp_parser -lm
# of mw and of test programs
SOUP_CFLAGS := $(shell pkg-config --cflags gio-unix-2.0 libsoup-3.0 2>/dev/null)
SOUP_LIBS := $(shell pkg-config --libs gio-unix-2.0 libsoup-3.0 2>/dev/null)
CHECK_LIBS := $(shell pkg-config --libs check 2>/dev/null)

CFLAGS = -std=gnu11 -O2 -g -Wall -Wextra -Werror -Wmissing-prototypes \
	-Wstrict-prototypes -Wshadow -fno-omit-frame-pointer
INCLUDES = -Iinclude -Isource/core -Isource/wire -Isource/run \
	-Isource/core/log -Isource/core/zone -Isource/core/flow \
	-Isource/core/flow/policy -Isource/daemons -Isource/tools -Itests -Iplatform -I.
ifdef SANITIZE
BUILD = build/sanitize
CFLAGS += -fsanitize=address,undefined -fno-sanitize-recover=undefined
endif

CORE := $(wildcard source/core/*.c source/core/*/*.c \
	source/core/*/*/*.c)
WIRE := $(wildcard source/wire/*.c)
RUN := $(wildcard source/run/*.c)
PLATFORM := $(filter-out %/mwplatformd.c,$(wildcard platform/*.c))
TOOLS := $(wildcard source/tools/*.c)
TESTS := $(filter-out %/uv-source.c,$(wildcard tests/*.c))
BENCH := $(filter-out %/slopes.c %/slopes-%.c %/load.c,$(wildcard bench/*.c))

comma := ,
object = $(patsubst %.c,$(BUILD)/%.o,$(1))
CORE_OBJECTS := $(call object,$(CORE))
LIBRARY_OBJECTS := $(call object,$(CORE) $(WIRE) $(RUN))
DAEMON_OBJECT := $(call object,source/daemons/daemon.c)
LIBRARY = $(BUILD)/libmimosawind.a
PROGRAMS = $(BUILD)/mwentryd $(BUILD)/mwcontrold $(BUILD)/mw \
	$(BUILD)/mwplatformd \
	$(BUILD)/fake-endpoint

all: $(PROGRAMS)

$(BUILD)/%.o: %.c
	@mkdir -p $(dir $@)
	$(CC) $(CFLAGS) $(INCLUDES) $(PKG_CFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/source/tools/%.o $(BUILD)/tests/%.o $(BUILD)/bench/%.o: \
	PKG_CFLAGS += $(SOUP_CFLAGS)

# generated code is committed; it has no prototypes
$(BUILD)/source/wire/mimosawind.pb-c.o: CFLAGS += -Wno-missing-prototypes

$(LIBRARY): $(LIBRARY_OBJECTS)
	rm -f $@
	ar rcs $@ $^

$(BUILD)/mwentryd: $(call object,source/daemons/mwentryd.c) \
		$(DAEMON_OBJECT) $(LIBRARY)
	$(CC) $(CFLAGS) $^ $(PKG_LIBS) -o $@

$(BUILD)/mwcontrold: $(call object,source/daemons/mwcontrold.c) \
		$(DAEMON_OBJECT) $(LIBRARY)
	$(CC) $(CFLAGS) $^ $(PKG_LIBS) -o $@

$(BUILD)/mwplatformd: $(call object,platform/mwplatformd.c $(PLATFORM)) \
		$(DAEMON_OBJECT) $(LIBRARY)
	$(CC) $(CFLAGS) $^ $(PKG_LIBS) -o $@

$(BUILD)/mw: $(call object,$(TOOLS)) $(DAEMON_OBJECT) $(LIBRARY)
	$(CC) $(CFLAGS) $^ $(PKG_LIBS) $(SOUP_LIBS) -o $@

$(BUILD)/fake-endpoint: $(call object,tests/fakes/fake-endpoint.c \
		tests/uv-source.c) $(LIBRARY)
	$(CC) $(CFLAGS) $^ $(PKG_LIBS) $(SOUP_LIBS) -o $@

# the commit, or a checksum of the sources; compiled again when it changes
BUILD_ID := $(shell git describe --always --dirty --abbrev=12 --exclude='*' \
	2>/dev/null || find source include platform -name '*.[ch]' | \
	LC_ALL=C sort | xargs cat | cksum | cut -d ' ' -f 1)
BUILD_ID_FILE = $(BUILD)/build-id
$(shell mkdir -p $(BUILD) && { echo '$(BUILD_ID)' | \
	cmp -s - $(BUILD_ID_FILE) || echo '$(BUILD_ID)' >$(BUILD_ID_FILE); })
$(BUILD)/source/run/build-id.o: CFLAGS += -DMW_BUILD_ID='"$(BUILD_ID)"'
$(BUILD)/source/run/build-id.o: $(BUILD_ID_FILE)

# tests/name-count.c counts the calls of these
COUNTED = mw_str_equal mw_name_equal mw_same_name mw_hash_name

$(BUILD)/check: $(call object,$(TESTS) $(PLATFORM) source/tools/event-trace.c) \
		$(LIBRARY)
	$(CC) $(CFLAGS) $^ $(PKG_LIBS) $(CHECK_LIBS) \
		$(addprefix -Wl$(comma)--wrap=,$(COUNTED)) -o $@

# scripted tests: fixed seeds and no timing, with warnings as errors
check: all $(BUILD)/check
	$(BUILD)/check $(ONLY)

$(BUILD)/run-bench: $(call object,$(BENCH) tests/oracle.c) $(LIBRARY)
	$(CC) $(CFLAGS) $^ $(PKG_LIBS) -lm -o $@

# simulation: the three measures of each scheduling policy, with a lower bound
bench: $(BUILD)/run-bench
	$(BUILD)/run-bench

# plots of each measure against the load as SVG, for docs/MEASURES.md
plots: $(BUILD)/run-bench
	$(BUILD)/run-bench >$(BUILD)/bench.txt
	scripts/plots.sh $(BUILD)/bench.txt docs/plots

# marginal costs, for docs/CAPACITY.md
$(BUILD)/slopes: $(call object,bench/slopes.c) $(LIBRARY)
	$(CC) $(CFLAGS) $^ $(PKG_LIBS) -o $@

$(BUILD)/slopes-%: $(BUILD)/bench/slopes-%.o \
		$(call object,$(PLATFORM)) $(LIBRARY)
	$(CC) $(CFLAGS) $^ $(PKG_LIBS) -o $@

slopes: $(BUILD)/slopes $(BUILD)/slopes-region $(BUILD)/slopes-connections
	$(BUILD)/slopes
	$(BUILD)/slopes-region
	$(BUILD)/slopes-connections

# end-to-end latency and throughput, compared with the endpoint alone
$(BUILD)/load: $(call object,bench/load.c) $(LIBRARY)
	$(CC) $(CFLAGS) $^ $(PKG_LIBS) $(SOUP_LIBS) -o $@

load: all $(BUILD)/load
	scripts/load.sh

# system tests with real processes: make proofs ONLY="gang config"
$(BUILD)/relay: $(call object,tests/proofs/relay.c) $(LIBRARY)
	$(CC) $(CFLAGS) $^ $(PKG_LIBS) $(SOUP_LIBS) -o $@

proofs: all $(BUILD)/relay
	BUILD=$(BUILD) tests/proofs/run.sh $(ONLY)

# models checked by spin; model-faults: spin finds each guard that is left out
model:
	scripts/model.sh check

model-faults:
	scripts/model.sh faults

# mutation tests: removing a mechanism in a scratch copy must fail its scripts
mutants: $(BUILD)/check
	scripts/mutants.sh

# fuzzing of the decoders, with a fixed seed and number of runs
FUZZ_RUNS = 300000
$(BUILD)/fuzz: tests/fuzz/fuzz.c $(CORE) $(WIRE)
	@mkdir -p $(BUILD)
	clang -std=gnu11 -O1 -g -fsanitize=fuzzer,address,undefined \
		$(INCLUDES) $(PKG_CFLAGS) -Wno-everything $^ $(PKG_LIBS) -o $@

fuzz: $(BUILD)/fuzz
	$(BUILD)/fuzz -runs=$(FUZZ_RUNS) -seed=1 -max_len=4096 -verbosity=0 \
		-print_final_stats=1

# the scripts with random seeds, with more seeds: make soak SEEDS=500
soak: $(BUILD)/check
	MW_SEEDS=$(or $(SEEDS),300) $(BUILD)/check seeds

# the real programs under injected faults: make soak-processes FIRST=1
# SEEDS=50 SECONDS=20 LOAD=configs NETWORK=1
$(BUILD)/run-soak: $(call object,$(wildcard tests/soak/*.c) \
		tests/region-endpoint.c tests/uv-source.c) $(LIBRARY)
	$(CC) $(CFLAGS) $^ $(PKG_LIBS) $(SOUP_LIBS) -o $@

soak-processes: all $(BUILD)/run-soak
	$(BUILD)/run-soak $(or $(FIRST),1) $(or $(SEEDS),5) $(or $(SECONDS),20) \
		$(or $(NETWORK),0) $(or $(LOAD),flows)

# formatter, linters, and a check that the core does no input or output
SOURCES := $(shell find source include platform bench tests -name '*.[ch]' | \
	grep -v '\.pb-c\.')
lint: $(CORE_OBJECTS)
	clang-format --dry-run -Werror $(SOURCES)
	scripts/core-symbols.sh $(CORE_OBJECTS)
	cppcheck --quiet --error-exitcode=1 --inline-suppr \
		--enable=warning,portability --suppress=*:/usr/* \
		--suppress=preprocessorErrorDirective \
		--suppress=missingIncludeSystem --suppress=nullPointerRedundantCheck \
		-j 6 $(INCLUDES) source/core source/wire/*-json.c source/run \
		source/daemons source/tools platform
	printf '%s\n' $(filter-out %.h,$(SOURCES)) | xargs -P 6 -n 4 \
		sh -c 'clang-tidy --quiet "$$@" -- -std=gnu11 $(INCLUDES) \
		$(PKG_CFLAGS) $(SOUP_CFLAGS) 2>/dev/null' tidy
	@echo lint: clean

# installs missing packages, builds, and runs Corrib's job list, or Inzu's with
# make demo WHO=inzu
demo:
	scripts/packages.sh
	$(MAKE) -s all
	scripts/demo.sh $(or $(WHO),corrib)

# the binary that deploy/system.toml runs
target: $(BUILD)/mwplatformd
	@mkdir -p target
	cp $(BUILD)/mwplatformd target/mwplatformd.new
	mv target/mwplatformd.new target/mwplatformd

clean:
	rm -rf build

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

.PHONY: all check bench plots slopes load proofs model model-faults mutants \
	fuzz soak soak-processes lint demo target clean
