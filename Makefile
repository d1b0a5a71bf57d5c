# mimosawind: read from top to bottom.
#
#   make            the library, the daemons and the tool
#   make demo       three availability zones on loopback, one job list
#   make check      warnings as errors, scripted tests
#   make lint       formatter, linters, and what the core may refer to

CC = gcc
BUILD = build
PACKAGES = glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 libprotobuf-c jansson \
	zlib argtable2 yaml-0.1
PKG_CFLAGS := $(shell pkg-config --cflags $(PACKAGES) 2>/dev/null)
PKG_LIBS := $(shell pkg-config --libs $(PACKAGES) 2>/dev/null)
CHECK_LIBS := $(shell pkg-config --libs check 2>/dev/null)

CFLAGS = -std=gnu11 -O2 -g -Wall -Wextra -Werror -Wmissing-prototypes \
	-Wstrict-prototypes -Wshadow -fno-omit-frame-pointer
INCLUDES = -Iinclude -Isource/core -Isource/wire -Isource/run \
	-Isource/core/log -Isource/core/zone -Isource/core/flow -Isource/daemons -Isource/tools -Itests -Iplatform -I.
ifdef SANITIZE
BUILD = build/sanitize
CFLAGS += -fsanitize=address,undefined -fno-sanitize-recover=undefined
endif

CORE := $(wildcard source/core/*.c source/core/*/*.c)
WIRE := $(wildcard source/wire/*.c)
RUN := $(wildcard source/run/*.c)
PLATFORM := $(filter-out %/mwplatformd.c,$(wildcard platform/*.c))
TOOLS := $(wildcard source/tools/*.c)
TESTS := $(wildcard tests/*.c)
BENCH := $(filter-out %/slopes.c %/load.c,$(wildcard bench/*.c))

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
	$(CC) $(CFLAGS) $(INCLUDES) $(PKG_CFLAGS) -MMD -c $< -o $@

# generated code is committed; its warnings are its own
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
	$(CC) $(CFLAGS) $^ $(PKG_LIBS) -o $@

$(BUILD)/fake-endpoint: $(call object,tests/fakes/fake-endpoint.c) \
		$(LIBRARY)
	$(CC) $(CFLAGS) $^ $(PKG_LIBS) -o $@

$(BUILD)/check: $(call object,$(TESTS) $(PLATFORM) source/tools/story.c) \
		$(LIBRARY)
	$(CC) $(CFLAGS) $^ $(PKG_LIBS) $(CHECK_LIBS) -o $@

# warnings are errors, and the scripts decide; fixed seeds, nothing timed
check: all $(BUILD)/check
	$(BUILD)/check $(ONLY)

$(BUILD)/run-bench: $(call object,$(BENCH) tests/oracle.c) $(LIBRARY)
	$(CC) $(CFLAGS) $^ $(PKG_LIBS) -lm -o $@

# the three measures, against the obvious policies and a lower bound
bench: $(BUILD)/run-bench
	$(BUILD)/run-bench

# each measure over load as SVG, for docs/MEASURES.md
plots: $(BUILD)/run-bench
	$(BUILD)/run-bench >$(BUILD)/bench.txt
	scripts/plots.sh $(BUILD)/bench.txt docs/plots

# what one more of everything costs, for docs/CAPACITY.md
$(BUILD)/slopes: $(call object,bench/slopes.c) $(LIBRARY)
	$(CC) $(CFLAGS) $^ $(PKG_LIBS) -o $@

slopes: $(BUILD)/slopes
	$(BUILD)/slopes

# the whole path against an endpoint alone
$(BUILD)/load: $(call object,bench/load.c) $(LIBRARY)
	$(CC) $(CFLAGS) $^ $(PKG_LIBS) -o $@

load: all $(BUILD)/load
	scripts/load.sh

# the promises on real processes: make proofs ONLY="gang config"
$(BUILD)/relay: $(call object,tests/proofs/relay.c) $(LIBRARY)
	$(CC) $(CFLAGS) $^ $(PKG_LIBS) -o $@

proofs: all $(BUILD)/relay
	tests/proofs/run.sh $(ONLY)

# a specification checked by spin; and each guard left out, found
model:
	scripts/model.sh check

model-faults:
	scripts/model.sh faults

# each promise's mechanism taken out in a scratch copy: its scripts go red
mutants: $(BUILD)/check
	scripts/mutants.sh

# decoders against arbitrary bytes: bounded, and the same on every run
FUZZ_RUNS = 300000
$(BUILD)/fuzz: tests/fuzz/fuzz.c $(CORE) $(WIRE)
	@mkdir -p $(BUILD)
	clang -std=gnu11 -O1 -g -fsanitize=fuzzer,address,undefined \
		$(INCLUDES) $(PKG_CFLAGS) -Wno-everything $^ $(PKG_LIBS) -o $@

fuzz: $(BUILD)/fuzz
	$(BUILD)/fuzz -runs=$(FUZZ_RUNS) -seed=1 -max_len=4096 -verbosity=0 \
		-print_final_stats=1

# the same seeded scripts with more seeds: make soak SEEDS=500
soak: $(BUILD)/check
	MW_SEEDS=$(or $(SEEDS),300) $(BUILD)/check seeds

# the real programs under faults from outside: make soak-processes FIRST=1
# SEEDS=50 SECONDS=20
$(BUILD)/run-soak: $(call object,$(wildcard tests/soak/*.c) tests/region-endpoint.c) \
		$(LIBRARY)
	$(CC) $(CFLAGS) $^ $(PKG_LIBS) -o $@

soak-processes: all $(BUILD)/run-soak
	$(BUILD)/run-soak $(or $(FIRST),1) $(or $(SEEDS),5) $(or $(SECONDS),20)

# formatter and linters clean, and the core without input or output
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
		$(PKG_CFLAGS) 2>/dev/null' tidy
	@echo lint: clean

# installs what is missing, builds, and runs the Corrib list: make demo
# WHO=inzu runs Inzu's
demo:
	scripts/packages.sh
	$(MAKE) -s all
	scripts/demo.sh $(or $(WHO),corrib)

# what deploy/system.toml runs
target: $(BUILD)/mwplatformd
	@mkdir -p target
	cp $(BUILD)/mwplatformd target/mwplatformd.new
	mv target/mwplatformd.new target/mwplatformd

clean:
	rm -rf build

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

.PHONY: all check bench plots slopes load proofs model model-faults mutants \
	fuzz soak soak-processes lint demo target clean
