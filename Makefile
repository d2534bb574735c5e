PACKAGES = libcivetweb-dev liburcu-dev libtirpc-dev libcmocka-dev \
	libcyaml-dev libyaml-dev libjansson-dev libcurl4-openssl-dev libssl-dev \
	libxxhash-dev uthash-dev rpcsvc-proto pkg-config \
	libuv1-dev libhttp-parser-dev \
	curl clang-format clang-tidy make gcc
MODULES = liburcu-bp libtirpc libcyaml yaml-0.1 jansson libcurl libcrypto libxxhash

GATEWAY_MODULES = libuv libtirpc libcyaml yaml-0.1 jansson libcrypto libxxhash

BUILD ?= build
CFLAGS ?= -O2 -g
WARNINGS = -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes
BASE_CFLAGS = -std=gnu11 $(WARNINGS) $(CFLAGS) -Iinclude -Isrc -Iplatform -pthread
ALL_CFLAGS = $(BASE_CFLAGS) \
	$(shell pkg-config --cflags $(MODULES) $(GATEWAY_MODULES))
LIBS = -lcivetweb -lhttp_parser $(shell pkg-config --libs $(MODULES)) -lm -pthread

PROGRAMS = router config ctl replay
GATEWAY_DIRS = wire route place admit fleet guard gateway
GATEWAY_SOURCES = $(foreach d,$(GATEWAY_DIRS),$(wildcard src/$(d)/*.c)) \
	$(wildcard platform/*.c) src/config/yaml.c \
	$(patsubst %,src/base/%.c,address alloc clock event file log random status \
	str switches)
GATEWAY_OBJECTS = $(GATEWAY_SOURCES:%.c=$(BUILD)/%.o)
GATEWAY_LIBS = -lhttp_parser $(shell pkg-config --libs $(GATEWAY_MODULES)) \
	-lm -pthread
EXAMPLES = $(patsubst examples/%.c,$(BUILD)/example-%,$(wildcard examples/*.c))
CORE_DIRS = base rpc config view member fair dispatch guard once entry node journal \
	http backing library wire route place admit fleet
CORE_SOURCES = $(foreach d,$(CORE_DIRS),$(wildcard src/$(d)/*.c)) \
	$(wildcard platform/*.c)
CORE_OBJECTS = $(CORE_SOURCES:%.c=$(BUILD)/%.o)
CORE = $(BUILD)/libcore.a

PROGRAM_FILES = $(PROGRAMS:%=$(BUILD)/monsoonspur-%) $(BUILD)/monsoonspur-gateway
STANDINS = $(patsubst tests/standins/%.c,$(BUILD)/standin-%,\
	$(wildcard tests/standins/*.c))
TESTS = $(patsubst tests/test_%.c,$(BUILD)/test_%,$(wildcard tests/test_*.c))

all: $(PROGRAM_FILES) $(STANDINS) $(EXAMPLES)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/src/rpc/peer_xdr.o $(BUILD)/src/fleet/digest_xdr.o: WARNINGS =

# The gateway is built where only its own libraries are installed.
$(GATEWAY_OBJECTS): ALL_CFLAGS = $(BASE_CFLAGS) \
	$(shell pkg-config --cflags $(GATEWAY_MODULES))

$(BUILD)/monsoonspur-gateway: $(GATEWAY_OBJECTS)
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(GATEWAY_LIBS)

$(CORE): $(CORE_OBJECTS)
	@rm -f $@
	$(AR) rcs $@ $^

define program
$(BUILD)/monsoonspur-$(1): $(patsubst %.c,$(BUILD)/%.o,$(wildcard src/$(2)/*.c)) $(CORE)
	$$(CC) $$(ALL_CFLAGS) -o $$@ $$^ $$(LIBS)
endef
$(eval $(call program,router,router))
$(eval $(call program,config,configtool))
$(eval $(call program,ctl,ctl))
$(eval $(call program,replay,replay))

$(BUILD)/example-%: $(BUILD)/examples/%.o $(CORE)
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/standin-%: $(BUILD)/tests/standins/%.o \
	$(BUILD)/tests/standins/common/serve.o $(CORE)
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

SOAK_OBJECTS = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/soak/*.c))

$(BUILD)/soak: $(SOAK_OBJECTS) $(CORE)
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/test_%: $(BUILD)/tests/test_%.o $(CORE)
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS) $(shell pkg-config --libs cmocka)

# Installs only what is missing, so that a second run needs no network.
install-packages:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 \
	  || { apt-get update && apt-get install -y $(PACKAGES); }

demo: install-packages
	$(MAKE) -j$(JOBS) all
	BUILD=$(BUILD) sh tests/demo.sh

check: install-packages
	$(MAKE) -j$(JOBS) all-and-tests
	$(MAKE) check-units
	$(MAKE) check-cli
	$(MAKE) check-traces
	$(MAKE) check-e2e
	$(MAKE) check-gateway
	$(MAKE) soak

check-units: $(TESTS)
	@for t in $(TESTS); do $$t || exit 1; done

check-traces: $(BUILD)/monsoonspur-replay
	BUILD=$(BUILD) sh tests/proofs.sh

check-cli: all
	BUILD=$(BUILD) sh tests/cli.sh

check-e2e: all
	BUILD=$(BUILD) sh tests/e2e.sh

check-gateway: all
	BUILD=$(BUILD) sh tests/gateway.sh

SEEDS ?= 3

soak: all $(BUILD)/soak
	@for seed in $(SEEDS); do \
	  folder=$$(mktemp -d) || exit 1; \
	  $(BUILD)/soak --build=$(BUILD) --folder=$$folder --seed=$$seed \
	    || { echo "logs are in $$folder"; exit 1; }; \
	  rm -rf $$folder; \
	done

$(BUILD)/bench-%: $(BUILD)/tests/bench/%.o $(CORE)
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

# Measurements; not a test.
bench: all $(BUILD)/bench-latency
	BUILD=$(BUILD) sh tests/bench/bench.sh

# How the decisions grow; not a test.
slopes: $(BUILD)/bench-slopes
	$(BUILD)/bench-slopes
	$(BUILD)/bench-slopes --csv >$(BUILD)/slopes.csv

JOBS = $(shell nproc)
SANITIZED = BUILD=build-asan CFLAGS="-O1 -g -fsanitize=address,undefined \
	-fno-sanitize-recover=undefined -fno-omit-frame-pointer"

# The same tests under the address and undefined-behaviour sanitizers.
check-asan: install-packages
	$(MAKE) $(SANITIZED) -j$(JOBS) all-and-tests
	$(MAKE) $(SANITIZED) check-units
	$(MAKE) $(SANITIZED) check-asan-traces
	$(MAKE) $(SANITIZED) check-e2e
	$(MAKE) $(SANITIZED) check-gateway

all-and-tests: all $(TESTS)

check-asan-traces: $(BUILD)/monsoonspur-replay
	$(BUILD)/monsoonspur-replay tests/traces/*.trace

FORMATTED = $(filter-out src/rpc/peer.h src/rpc/peer_xdr.c \
	src/fleet/digest.h src/fleet/digest_xdr.c,\
	$(shell find src include platform tests examples -name '*.[ch]'))

lint: install-packages
	clang-format --dry-run -Werror $(FORMATTED)
	printf '%s\n' $(filter %.c,$(FORMATTED)) | xargs -P 8 -n 4 sh -c \
	  'clang-tidy --quiet "$$@" -- $(ALL_CFLAGS) 2>/dev/null' tidy

format:
	clang-format -i $(FORMATTED)

clean:
	rm -rf build build-asan

.PHONY: all all-and-tests bench slopes install-packages demo check check-units check-cli check-traces check-e2e check-gateway soak check-asan \
	check-asan-traces lint format clean
.SECONDARY:

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
