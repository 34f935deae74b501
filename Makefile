# Targets: all demo check bench install clean; see README.md.

SANITIZE ?=
PREFIX ?= /usr/local
DESTDIR ?=
CC = gcc
CXX = g++

comma := ,
BUILD := build$(if $(SANITIZE),-$(subst $(comma),-,$(SANITIZE)))
PKGS = neon libzmq libsodium json-c liburcu liburcu-bp glib-2.0 log4c \
	libxxhash msgpack libuv
PKG_CFLAGS = $(shell pkg-config --cflags $(PKGS))
STANDIN_LIBS = $(shell pkg-config --libs libmicrohttpd)
PKG_LIBS = $(shell pkg-config --libs $(PKGS)) -lhttp_parser -lm
SAN_FLAGS := $(if $(SANITIZE),-fsanitize=$(SANITIZE) -fno-omit-frame-pointer)

CPPFLAGS = -D_GNU_SOURCE -Iinclude -Isrc
WARN = -Wall -Wextra -Wformat=2 -Wshadow -Wpointer-arith -Werror
CFLAGS = -std=gnu11 -O2 -g $(WARN) -Wstrict-prototypes -Wmissing-prototypes \
	$(SAN_FLAGS)
CXXFLAGS = -std=c++17 -O1 -g $(WARN) $(SAN_FLAGS)
LDFLAGS = $(SAN_FLAGS) -pthread

PROGRAMS = goldcresthatch-entry goldcresthatch-agent goldcresthatchctl
STANDINS = soak-world standin-kv standin-runner standin-service load-client fuzz-frames \
	standin-link standin-raw crowd-client
MAIN_goldcresthatch-entry = entry_main
MAIN_goldcresthatch-agent = agent_main
MAIN_goldcresthatchctl = ctl_main

LIB_SRC = $(filter-out src/%_main.c,$(wildcard src/*.c))
LIB_OBJ = $(LIB_SRC:src/%.c=$(BUILD)/%.o)
LIB = $(BUILD)/libgoldcresthatch.a
PLATFORM_SRC = $(wildcard platform/*.c)
PLATFORM_OBJ = $(PLATFORM_SRC:platform/%.c=$(BUILD)/platform-%.o)
UNIT_SRC = $(wildcard tests/unit_*.cc)
DIFF_SRC = $(wildcard tests/diff_*.cc)
BENCH_SRC = $(wildcard bench/bench_*.c)
BENCH_BIN = $(BENCH_SRC:bench/%.c=$(BUILD)/%)
BENCH_SCRIPTS = $(filter-out bench/capacity.sh,$(wildcard bench/*.sh))
HAVE_MAIN = $(foreach p,$(PROGRAMS),$(if \
	$(wildcard src/$(MAIN_$(p)).c),$(BUILD)/$(p)))
HAVE_STANDIN = $(foreach s,$(STANDINS),$(if \
	$(wildcard tests/$(subst -,_,$(s)).c),$(BUILD)/$(s)))
C_FILES = $(wildcard src/*.c src/*.h platform/*.c platform/*.h include/goldcresthatch/*.h tests/*.c \
	tests/*.h bench/*.c bench/*.h)
CC_FILES = $(wildcard tests/*.cc tests/*.hh)

.PHONY: all soak deps programs platform tests check check-format check-lint demo bench \
	bench-capacity check-tsan install clean
.SECONDARY:

all: deps
	$(MAKE) programs

deps:
	@scripts/install-deps

programs: $(HAVE_MAIN) $(HAVE_STANDIN) $(BUILD)/goldcresthatch-gateway

tests: programs $(BUILD)/unit-tests $(if $(DIFF_SRC),$(BUILD)/diff-tests)

$(BUILD):
	mkdir -p $@

$(BUILD)/%.o: src/%.c | $(BUILD)
	$(CC) $(CPPFLAGS) $(PKG_CFLAGS) $(CFLAGS) -fPIC -MMD -MP -c $< -o $@

$(BUILD)/platform-%.o: platform/%.c | $(BUILD)
	$(CC) $(CPPFLAGS) -Iplatform $(PKG_CFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/goldcresthatch-gateway: $(PLATFORM_OBJ) $(LIB)
	$(CC) $(LDFLAGS) -Wl,--as-needed -o $@ $^ $(PKG_LIBS)

# Builds the program that deploy/system.toml names, for the platform to run.
platform:
	$(MAKE) -s -j$$(nproc) BUILD=target target/goldcresthatch-gateway

$(BUILD)/test-%.o: tests/%.c | $(BUILD)
	$(CC) $(CPPFLAGS) $(PKG_CFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/bench-%.o: bench/%.c | $(BUILD)
	$(CC) $(CPPFLAGS) -Iplatform $(PKG_CFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/cc-%.o: tests/%.cc | $(BUILD)
	$(CXX) $(CPPFLAGS) -Iplatform $(PKG_CFLAGS) $(CXXFLAGS) -MMD -MP -c $< -o $@

$(LIB): $(LIB_OBJ)
	rm -f $@
	ar rcs $@ $^

define program_rule
$(BUILD)/$(1): $(BUILD)/$(MAIN_$(1)).o $(LIB)
	$$(CC) $$(LDFLAGS) -o $$@ $$^ $$(PKG_LIBS)
endef
$(foreach p,$(PROGRAMS),$(eval $(call program_rule,$(p))))

define standin_rule
$(BUILD)/$(1): $(BUILD)/test-$(subst -,_,$(1)).o $(LIB)
	$$(CC) $$(LDFLAGS) -o $$@ $$^ $$(STANDIN_LIBS) $$(PKG_LIBS)
endef
$(foreach s,$(STANDINS),$(eval $(call standin_rule,$(s))))

$(BUILD)/unit-tests: $(UNIT_SRC:tests/%.cc=$(BUILD)/cc-%.o) \
	$(filter-out %-gateway_main.o,$(PLATFORM_OBJ)) $(LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ -lgtest_main -lgtest $(PKG_LIBS)

$(BUILD)/diff-tests: $(DIFF_SRC:tests/%.cc=$(BUILD)/cc-%.o) $(LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ -lrapidcheck -lgtest_main -lgtest $(PKG_LIBS)

$(BUILD)/bench_policy: $(BUILD)/bench-bench_policy.o \
	$(patsubst bench/%.c,$(BUILD)/bench-%.o,$(wildcard bench/policy_*.c)) \
	$(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/bench_tenants: $(BUILD)/bench-bench_tenants.o \
	$(filter-out %-gateway_main.o,$(PLATFORM_OBJ)) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/bench_%: $(BUILD)/bench-bench_%.o $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

check-format:
	clang-format --dry-run -Werror $(C_FILES) $(CC_FILES)

LINT_STAMPS = $(patsubst %.c,$(BUILD)/lint/%.ok,$(filter %.c,$(C_FILES)))

check-lint: $(LINT_STAMPS)

$(BUILD)/lint/%.ok: %.c .clang-tidy $(wildcard src/*.h) \
	$(wildcard include/goldcresthatch/*.h)
	@mkdir -p $(@D)
	clang-tidy --quiet $< -- -std=gnu11 $(CPPFLAGS) -Iplatform $(PKG_CFLAGS)
	@touch $@

check: deps
	@$(MAKE) -j$$(nproc) tests
	@BUILD=$(BUILD) MAKE=$(MAKE) tests/run-checks

# Scripted runs with the thread sanitizer.  A daemon in which it detects a race
# exits with a status that the scripts report as a failure.
TSAN_RUNS = path resume
check-tsan: deps
	@$(MAKE) -s -j$$(nproc) programs SANITIZE=thread
	@for run in $(TSAN_RUNS); do \
	  TSAN_OPTIONS="suppressions=$(CURDIR)/tests/tsan.supp" \
	  BUILD=build-thread bash tests/scripts/$$run.sh \
	    | diff tests/scripts/$$run.out - || exit 1; \
	done
	@echo "no data race detected in: $(TSAN_RUNS)"

# Soak test with injected faults, not run by check:
# make soak SEED=n [SOAK_SECONDS=n].
SEED ?= 1
SOAK_SECONDS ?= 40
soak: deps
	@$(MAKE) -s -j$$(nproc) programs
	@BUILD=$(BUILD) tests/soak.sh $(SEED) $(SOAK_SECONDS)

demo: all
	BUILD=$(BUILD) scripts/demo

$(BUILD)/load-latency: $(BUILD)/bench-load_latency.o $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

bench: deps
	@$(MAKE) -s -j$$(nproc) programs $(BUILD)/load-latency $(BENCH_BIN)
	@for b in $(BENCH_BIN); do echo "== $${b##*/}"; BUILD=$(BUILD) $$b \
		|| exit 1; done
	@for b in $(BENCH_SCRIPTS); do echo "== $${b##*/}"; \
		BUILD=$(BUILD) bash $$b || exit 1; done

bench-capacity: deps
	@$(MAKE) -s -j$$(nproc) programs $(BUILD)/load-latency
	@BUILD=$(BUILD) bash bench/capacity.sh

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib \
	  $(DESTDIR)$(PREFIX)/include/goldcresthatch \
	  $(DESTDIR)$(PREFIX)/share/man/man8
	install $(HAVE_MAIN) $(BUILD)/goldcresthatch-gateway $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(LIB) $(DESTDIR)$(PREFIX)/lib
	install -m 644 include/goldcresthatch/*.h \
	  $(DESTDIR)$(PREFIX)/include/goldcresthatch
	install -m 644 man/*.8 $(DESTDIR)$(PREFIX)/share/man/man8

clean:
	rm -rf build build-* target

-include $(wildcard $(BUILD)/*.d)
