# What is done often; each target is one command.
MVN = mvn -B

.PHONY: build test lint run clean measure bench

build:
	$(MVN) -q -DskipTests package

test:
	$(MVN) verify

lint:
	$(MVN) -q checkstyle:check

# One director: CONFIG names the file that it is told by.
run: build
	ROUTER_CONFIG=$(CONFIG) sh -c "$$(sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

# The figures of docs/measured: WHAT is e.g. "MeasureMembership share", "MeasureRoutes worst".
measure:
	$(MVN) -q -DskipTests package
	java -cp 'target/classes:target/test-classes:target/lib/*' mothcross.net.$(WHAT)

bench:
	$(MVN) -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/classpath
	java -cp target/classes:target/test-classes:$$(cat target/classpath) org.openjdk.jmh.Main RouteBench -prof gc

clean:
	$(MVN) -q clean
