.PHONY: build test lint run clean

build:
	mvn -q -DskipTests package

test:
	mvn -B -ntp verify

# The compiler's own checks, all of them, as errors, on the program and its tests.
lint:
	mvn -q test-compile

# One real backend, told by the file that GW_CONFIG names.
run: build
	sh -c "$$(sed -n 's/^run = "\(.*\)".*/\1/p' deploy/balancer.toml)"

clean:
	mvn -q clean
