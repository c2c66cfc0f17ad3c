.PHONY: build test lint format run bench sites clean

build:
	mvn -q -DskipTests package

test:
	mvn -B -ntp verify

# The compiler's own checks, all of them, as errors, on the program and its tests.
lint:
	mvn -q test-compile

# Writes the layout that verify checks.
format:
	mvn -q spotless:apply

# One real backend with the configuration file named by GW_CONFIG.
run: build
	sh -c "$$(sed -n 's/^run = "\(.*\)".*/\1/p' deploy/balancer.toml)"

# Decisions per second of one controller, on a fixed stream of requests; some 15 seconds.
bench: build
	java -cp target/classes merlinlever.testing.measurement.DecisionBenchmark

# The bench reads these beside a site file. They are the kit's: laid here, not kept.
KIT = ../given/kit/more/mass/other
sites:
	@test -r $(KIT)/real.json || { echo "make sites: $(KIT) is missing: lay the kit beside the checkout, as ../given" >&2; exit 1; }
	@install -m 644 $(KIT)/real.json $(KIT)/wire.json $(KIT)/unlock.txt deploy/sites

clean:
	mvn -q clean
