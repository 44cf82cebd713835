# make         builds the programs and the library
# make demo    runs the whole path on loopback
# make check   runs every test
# make bench   prints every measurement as one JSON line
# make soak    runs the randomized tests for longer
# make lint    runs the formatter and the linters

VERSION = 0.1.0
PREFIX ?= /usr/local
SANITIZE ?=
# The folder names the processor, so that one that was carried over from another
# kind of machine is not linked.
BUILD ?= build/$(shell uname -m)-$(if $(SANITIZE),$(subst $(comma),-,$(SANITIZE)),release)
comma := ,
CC ?= cc
CSTD = -std=gnu11
WARN = -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
    -Wno-unused-parameter -Werror
OPT ?= -O2 -g
SAN = $(if $(SANITIZE),-fsanitize=$(SANITIZE) -fno-omit-frame-pointer \
    -fno-sanitize-recover=all)
PKGS = ck libprotobuf-c libmicrohttpd libcurl jansson libxxhash libsodium \
    talloc libbsd
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
LIB_LIBS := $(shell pkg-config --libs talloc jansson libxxhash libsodium \
    libbsd 2>/dev/null) -lpthread -lm
PKG_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null) -largtable2 \
    -lhttp_parser -lpthread -lm
CFLAGS_ALL = $(CSTD) $(WARN) $(OPT) $(SAN) -fPIC -D_GNU_SOURCE -Isrc -Iplatform \
    -DHR_VERSION='"$(VERSION)"' -DHR_BIN='"$(BUILD)/bin"' $(PKG_CFLAGS) \
    $(CFLAGS)
LDLIBS_ALL = $(SAN) $(LDFLAGS) $(PKG_LIBS)

LIB_SRC := $(wildcard src/base-*.c src/state-*.c src/coord-*.c)
NODE_SRC := $(wildcard src/proto-*.c src/trans-*.c platform/platform-*.c)
DAEMON_SRC := $(wildcard src/daemon-*.c)
CTL_SRC := $(wildcard src/ctl-*.c)
TOOL_COMMON_SRC := $(wildcard tools/common-*.c)
TEST_COMMON_SRC := $(wildcard tests/common-*.c)
TEST_SRC := $(wildcard tests/test-*.c)
TOOL_SRC := $(filter-out $(TOOL_COMMON_SRC),$(wildcard tools/*.c))
# The stand-in of the users' platform, for the tests and the demo.
FAKE_SRC := $(wildcard tests/fake-site*.c)
BENCH_SRC := $(wildcard bench/bench-*.c)
EXAMPLE_SRC := $(wildcard examples/*.c)
PUBLIC_HEADERS := $(shell cat src/public-headers)
obj = $(patsubst %.c,$(BUILD)/%.o,$(1))
bin = $(patsubst %.c,$(BUILD)/bin/%,$(notdir $(1)))

LIB = $(BUILD)/libhickory.a
LIB_SHARED = $(BUILD)/libhickory.so.0
NODE_LIB = $(BUILD)/libnode.a
DAEMON_LIB = $(BUILD)/libdaemon.a
PROGRAMS = $(BUILD)/bin/hickoryrouterd $(BUILD)/bin/hickoryctl
TESTS = $(call bin,$(TEST_SRC))
TOOLS = $(call bin,$(TOOL_SRC))
FAKES = $(BUILD)/bin/fake-site
BENCHES = $(call bin,$(BENCH_SRC))
EXAMPLES = $(call bin,$(EXAMPLE_SRC))

.PHONY: all demo check test bench soak lint format deps install clean programs
all: programs

deps:
	@.ci/install-packages .ci/packages

# A second make is started so that pkg-config sees freshly installed packages.
check: deps
	@$(MAKE) --no-print-directory -j$$(nproc) test

demo: deps
	@$(MAKE) --no-print-directory -j$$(nproc) programs fakes
	@BIN=$(BUILD)/bin tools/demo.sh
	@BIN=$(BUILD)/bin tests/demo-gateway.sh

programs: $(PROGRAMS) $(LIB) $(LIB_SHARED) $(TOOLS) $(EXAMPLES)

.PHONY: fakes
fakes: $(FAKES)

# Prints the build folder, for scripts.
.PHONY: show-build
show-build:
	@echo $(BUILD)

test: programs $(TESTS) $(FAKES)
	@for e in $(EXAMPLES); do $$e >/dev/null || \
	    { echo "example $$e failed"; exit 1; }; done
	@BIN=$(BUILD)/bin .ci/run-tests $(TESTS)

bench: deps
	@$(MAKE) --no-print-directory -j$$(nproc) build-bench >&2
	@for b in $(BENCHES); do $$b || exit 1; done

.PHONY: build-bench
build-bench: $(BENCHES)

soak: deps
	@$(MAKE) --no-print-directory -j$$(nproc) programs $(TESTS) $(FAKES)
	@HR_SOAK=1 BIN=$(BUILD)/bin .ci/run-tests $(TESTS)

SOURCES := $(filter-out %.pb-c.c %.pb-c.h,$(wildcard src/*.[ch] \
    platform/*.[ch] tests/*.[ch] tools/*.[ch] bench/*.[ch] examples/*.[ch]))
format:
	clang-format -i $(SOURCES)

TIDY_SRC := $(filter %.c,$(SOURCES))
TIDY = $(patsubst %,$(BUILD)/tidy/%.ok,$(TIDY_SRC))
$(BUILD)/tidy/%.ok: % .clang-tidy $(wildcard src/*.h platform/*.h)
	@mkdir -p $(@D)
	clang-tidy --quiet $< -- $(CSTD) -D_GNU_SOURCE -Isrc -Iplatform -Itests -Itools \
	    -DHR_VERSION='"$(VERSION)"' -DHR_BIN='"$(BUILD)/bin"' $(PKG_CFLAGS) \
	    2>/dev/null
	@touch $@

.PHONY: tidy
tidy: $(TIDY)

lint:
	clang-format --dry-run --Werror $(SOURCES)
	@$(MAKE) --no-print-directory -j$$(nproc) tidy
	cppcheck --quiet --error-exitcode=1 --std=c11 -j$$(nproc) \
	    --enable=warning,performance,portability --inline-suppr \
	    --suppress=missingInclude --suppress=unknownMacro $(TIDY_SRC)

# Regenerates the committed protobuf code; needs protobuf-c-compiler.
.PHONY: proto
proto:
	src/proto/generate peer hello limit

$(BUILD)/%.o: %.c
	@mkdir -p $(@D); echo CC $<; \
	    $(CC) $(CFLAGS_ALL) -Itests -Itools -MMD -MP -c $< -o $@

$(LIB): $(call obj,$(LIB_SRC))
	@rm -f $@; echo AR $@; ar rcs $@ $^
$(NODE_LIB): $(call obj,$(NODE_SRC))
	@rm -f $@; echo AR $@; ar rcs $@ $^
$(DAEMON_LIB): $(call obj,$(filter-out src/daemon-main.c,$(DAEMON_SRC)))
	@rm -f $@; echo AR $@; ar rcs $@ $^
$(BUILD)/libhickory.map: src/public-headers .ci/public-functions \
    $(addprefix src/,$(PUBLIC_HEADERS))
	@mkdir -p $(@D); .ci/public-functions --map >$@
$(LIB_SHARED): $(call obj,$(LIB_SRC)) $(BUILD)/libhickory.map
	@echo LINK $@; $(CC) -shared -Wl,-soname,libhickory.so.0 \
	    -Wl,--version-script=$(BUILD)/libhickory.map $(filter %.o,$^) -o $@ \
	    $(SAN) $(LDFLAGS) $(LIB_LIBS)

LINK = @mkdir -p $(@D); echo LINK $@; $(CC) $(filter %.o,$^) \
    $(filter %.a,$^) -o $@ $(LDLIBS_ALL)
$(BUILD)/bin/hickoryrouterd: $(BUILD)/src/daemon-main.o $(DAEMON_LIB) \
    $(NODE_LIB) $(LIB)
	$(LINK)
$(BUILD)/bin/hickoryctl: $(call obj,$(CTL_SRC)) $(NODE_LIB) $(LIB)
	$(LINK)
$(TESTS): $(BUILD)/bin/%: $(BUILD)/tests/%.o $(call obj,$(TEST_COMMON_SRC)) \
    $(DAEMON_LIB) $(NODE_LIB) $(LIB)
	@mkdir -p $(@D); echo LINK $@; $(CC) $(filter %.o,$^) \
	    $(filter %.a,$^) -o $@ $(LDLIBS_ALL) -lcmocka
$(TOOLS): $(BUILD)/bin/%: $(BUILD)/tools/%.o $(call obj,$(TOOL_COMMON_SRC)) \
    $(NODE_LIB) $(LIB)
	$(LINK)
$(FAKES): $(call obj,$(FAKE_SRC)) $(NODE_LIB) $(LIB)
	$(LINK)
$(BENCHES): $(BUILD)/bin/%: $(BUILD)/bench/%.o $(DAEMON_LIB) $(NODE_LIB) $(LIB)
	$(LINK)
$(EXAMPLES): $(BUILD)/bin/%: $(BUILD)/examples/%.o $(LIB)
	$(LINK)

# Installs programs, library, headers, pkg-config file and manual pages.
install: programs
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/sbin \
	    $(DESTDIR)$(PREFIX)/lib/pkgconfig \
	    $(DESTDIR)$(PREFIX)/include/hickory \
	    $(DESTDIR)$(PREFIX)/share/man/man1 $(DESTDIR)$(PREFIX)/share/man/man8
	install $(BUILD)/bin/hickoryctl $(DESTDIR)$(PREFIX)/bin
	install $(BUILD)/bin/hickoryrouterd $(DESTDIR)$(PREFIX)/sbin
	install -m 644 $(LIB) $(DESTDIR)$(PREFIX)/lib
	install $(LIB_SHARED) $(DESTDIR)$(PREFIX)/lib
	ln -sf libhickory.so.0 $(DESTDIR)$(PREFIX)/lib/libhickory.so
	install -m 644 $(addprefix src/,$(PUBLIC_HEADERS)) \
	    $(DESTDIR)$(PREFIX)/include/hickory
	sed 's|@PREFIX@|$(PREFIX)|; s|@VERSION@|$(VERSION)|' hickory.pc.in \
	    >$(DESTDIR)$(PREFIX)/lib/pkgconfig/hickory.pc
	install -m 644 man/*.1 $(DESTDIR)$(PREFIX)/share/man/man1
	install -m 644 man/*.8 $(DESTDIR)$(PREFIX)/share/man/man8

clean:
	rm -rf build

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
