package org.limpetgate.standin.cluster;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoopGroup;
import org.limpetgate.CallerId;
import org.limpetgate.DataCentreId;
import org.limpetgate.SubmissionKey;
import org.limpetgate.UpstreamId;
import org.limpetgate.cli.Limpetgate;
import org.limpetgate.standin.LogLimits;
import org.limpetgate.standin.PlatformStandIn;
import org.limpetgate.standin.RunnerSettings;
import org.limpetgate.standin.RunnerStandIn;
import org.limpetgate.standin.StandIns;
import org.limpetgate.standin.StartCounter;
import org.limpetgate.submission.DataCentres;
import org.limpetgate.submission.KeyHash;

/**
 * Two data centres with two entry hosts each, which run in separate processes, and
 * stand-ins in this process. Hosts reach each other and the platform through proxies that
 * can simulate a partition.
 */
final class TestCluster implements AutoCloseable {

	static final List<String> HOSTS = List.of("a1", "a2", "b1", "b2");

	private static final String EXPIRY = Instant.now().plus(9, ChronoUnit.MINUTES).toString();

	private static final String HOST_KEY = "test-key-of-the-entry-hosts-0123456789";

	private static final String OPERATOR_KEY = "test-key-of-the-operator-ana-0123456789";

	final StartCounter starts = new StartCounter();

	final PlatformStandIn platform;

	final Map<String, RunnerStandIn> runners = new TreeMap<>();

	final Map<String, HostProcess> hosts = new TreeMap<>();

	private final EventLoopGroup group = StandIns.newEventLoops(2);

	private final Map<String, LinkProxy> proxies = new TreeMap<>();

	private final Map<String, LinkProxy> platformProxies = new TreeMap<>();

	private final Path directory = Files.createTempDirectory("cluster-test");

	TestCluster() throws IOException {
		this.platform = PlatformStandIn.start(this.group, LogLimits.DEFAULT);
		for (String name : HOSTS) {
			this.proxies.put(name, new LinkProxy("127.0.2." + hostNumber(name)));
		}
		for (String dataCentre : List.of("a", "b")) {
			LinkProxy proxy = new LinkProxy("127.0.0.1");
			proxy.forwardTo(this.platform.address());
			this.platformProxies.put(dataCentre, proxy);
			RunnerSettings runner = RunnerSettings.of(UpstreamId.of("runner-" + dataCentre));
			this.runners.put(dataCentre, RunnerStandIn.start(this.group, runner, this.starts));
		}
		for (String name : HOSTS) {
			start(name);
		}
		awaitReady(HOSTS);
		putTables();
	}

	private static int hostNumber(String host) {
		return HOSTS.indexOf(host) + 1;
	}

	private static InetAddress sourceAddress(String host) {
		try {
			return InetAddress.getByName("127.0.1." + hostNumber(host));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	HostProcess host(String name) {
		return this.hosts.get(name);
	}

	void start(String name) throws IOException {
		Path settings = Files.writeString(this.directory.resolve(name + ".json"), settings(name));
		HostProcess host = HostProcess.start(settings, this.directory.resolve(name + ".log"));
		this.hosts.put(name, host);
		this.proxies.get(name).forwardTo(new InetSocketAddress(sourceAddress(name), host.peerPort()));
	}

	private String settings(String name) {
		List<String> peers = new ArrayList<>();
		this.proxies
			.forEach((host, proxy) -> peers.add("{'host':'%s','dataCentre':'%s','address':'127.0.2.%d','port':%d}"
				.formatted(host, host.charAt(0), hostNumber(host), proxy.port())));
		return """
				{'host':'%s','dataCentre':'%s','dataCentres':['a','b'],
				'callers':{'address':'127.0.0.1','port':0},'operators':{'address':'127.0.0.1','port':0},
				'peers':{'address':'%s','port':0},'peerHosts':[%s],
				'platform':[{'address':'127.0.0.1','port':%d}],
				'keys':[{'id':'hosts','secret':'%s'}],'operatorKeys':[{'id':'ana','secret':'%s'}]}
				"""
			.formatted(name, name.charAt(0), sourceAddress(name).getHostAddress(), String.join(",", peers),
					this.platformProxies.get(name.substring(0, 1)).port(), HOST_KEY, OPERATOR_KEY)
			.replace('\'', '"');
	}

	private void putTables() throws IOException {
		String upstreams = "";
		for (Map.Entry<String, RunnerStandIn> runner : this.runners.entrySet()) {
			upstreams += "%s{'id':'runner-%s','dataCentre':'%s','address':'127.0.0.1','port':%d,'slots':8}".formatted(
					upstreams.isEmpty() ? "" : ",", runner.getKey(), runner.getKey(),
					runner.getValue().address().getPort());
		}
		putRow("a1", "pools", "{'name':'checks','kind':'runners','upstreams':[" + upstreams + "]}", "--new");
		putRow("a1", "routes", "{'name':'checks','match':{'pathPrefix':'/checks'},'pool':'checks'}", "--new");
		awaitVersion(HOSTS, 1);
	}

	/**
	 * Puts a row with the command line.
	 * @return the exit code
	 */
	int putRow(String host, String table, String row, String base) throws IOException {
		Path file = Files.writeString(this.directory.resolve("row.json"), row.replace('\'', '"'));
		Path key = Files.writeString(this.directory.resolve("key"), "ana:" + OPERATOR_KEY);
		return Limpetgate.commandLine(Map.of())
			.execute(table, "put", base, "--key-file=" + key, "--url=http://127.0.0.1:" + host(host).operatorPort(),
					file.toString());
	}

	void disconnectDataCentres() {
		forEachLinkBetweenDataCentres((from, to) -> this.proxies.get(to).block(sourceAddress(from)));
	}

	void reconnectDataCentres() {
		forEachLinkBetweenDataCentres((from, to) -> this.proxies.get(to).unblock(sourceAddress(from)));
	}

	private static void forEachLinkBetweenDataCentres(BiConsumer<String, String> action) {
		for (String from : HOSTS) {
			for (String to : HOSTS) {
				if (from.charAt(0) != to.charAt(0)) {
					action.accept(from, to);
				}
			}
		}
	}

	void disconnectPlatform(String dataCentre) {
		this.platformProxies.get(dataCentre).block(InetAddress.getLoopbackAddress());
	}

	void reconnectPlatform(String dataCentre) {
		this.platformProxies.get(dataCentre).unblock(InetAddress.getLoopbackAddress());
	}

	/**
	 * Returns a submission key whose home is the given data centre.
	 */
	static String keyWithHome(String dataCentre, String prefix) {
		DataCentres all = DataCentres.of(DataCentreId.of("a"), List.of(DataCentreId.of("a"), DataCentreId.of("b")));
		for (int number = 0;; number++) {
			String key = prefix + "-" + number;
			KeyHash hash = KeyHash.of(CallerId.of("anonymous"), SubmissionKey.of(key));
			if (all.homeOf(hash).value().equals(dataCentre)) {
				return key;
			}
		}
	}

	/**
	 * Returns a job of one task whose starts are counted under the key.
	 */
	static String jobJson(String key, int runMillis, String extra) {
		return """
				{'key':'%s','expiry':'%s',%s'tasks':[{'id':'t','method':'POST','path':'/checks/coil','body':'cabinet 7',
				'headers':{'x-request-id':'%s','x-run-millis':'%d'}}]}
				""".formatted(key, EXPIRY, extra, key, runMillis).replace('\'', '"');
	}

	CompletableFuture<HttpResponse<String>> submit(String host, String job) {
		return host(host).send("POST", "/v1/submissions", job);
	}

	void awaitReady(List<String> names) {
		await("ready", () -> names.stream().allMatch((name) -> host(name).isReady()));
	}

	void awaitVersion(List<String> names, long version) {
		await("version " + version, () -> names.stream().allMatch((name) -> host(name).version() >= version));
	}

	/**
	 * Returns whether a host has logged an event.
	 */
	boolean hasLogged(String host, String event) {
		try {
			return Files.readString(this.directory.resolve(host + ".log")).contains(event);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Waits for a condition that must become true. The time limit of 60 s only ends a
	 * test that would otherwise hang.
	 */
	static void await(String description, BooleanSupplier condition) {
		for (int attempts = 0; attempts < 1200; attempts++) {
			if (condition.getAsBoolean()) {
				return;
			}
			try {
				Thread.sleep(50);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}
		throw new AssertionError("timed out waiting for: " + description);
	}

	@Override
	public void close() throws IOException, InterruptedException {
		for (HostProcess host : this.hosts.values()) {
			host.kill();
		}
		for (LinkProxy proxy : this.proxies.values()) {
			proxy.close();
		}
		for (LinkProxy proxy : this.platformProxies.values()) {
			proxy.close();
		}
		this.runners.values().forEach(RunnerStandIn::close);
		this.platform.close();
		this.group.shutdownGracefully();
	}

}
