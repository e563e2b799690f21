package org.limpetgate.host.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

import org.limpetgate.HostId;
import org.limpetgate.config.Configuration;
import org.limpetgate.config.ConfigurationSnapshot;
import org.limpetgate.config.TableJson;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Hosts whose configuration services share one log in virtual time. Checks at every
 * change that the version of the host increases and that hosts with the same version have
 * the same tables.
 */
final class Cluster {

	static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);

	final VirtualTime time = new VirtualTime();

	final RandomGenerator random;

	final FakeLog log;

	final List<Node> nodes = new ArrayList<>();

	final List<ConfigurationSnapshot> oldStates = new ArrayList<>();

	private final Map<Long, String> tablesByVersion = new HashMap<>();

	private final long seed;

	private final Duration snapshotInterval;

	private final long[][] lastPartitionedNanos;

	Cluster(long seed, int hosts, Duration snapshotInterval) {
		this.seed = seed;
		this.random = new Random(seed);
		this.log = new FakeLog(this.time, this.random);
		this.snapshotInterval = snapshotInterval;
		this.lastPartitionedNanos = new long[hosts][hosts];
		for (int index = 0; index < hosts; index++) {
			this.nodes.add(new Node(index));
		}
	}

	void runFor(Duration duration) {
		this.time.runFor(duration);
	}

	Node node(int index) {
		return this.nodes.get(index);
	}

	/**
	 * Records which hosts cannot reach the log and which pairs of hosts are partitioned
	 * now.
	 */
	void recordOutages() {
		long now = this.time.nowNanos();
		for (Node node : this.nodes) {
			if (node.access.outage) {
				node.lastLogOutageNanos = now;
			}
			for (Node other : this.nodes) {
				if (node.group != other.group) {
					this.lastPartitionedNanos[node.index][other.index] = now;
				}
			}
		}
	}

	/** A host that can be restarted. */
	final class Node implements PeerConfigurations {

		final int index;

		final HostId id;

		final FakeLog.Access access;

		ConfigurationService service;

		long startedNanos;

		/** Hosts can reach only the hosts of the same group. */
		int group;

		long lastLogOutageNanos;

		private long heartbeatVersion = -1;

		private long lastVersion;

		Node(int index) {
			this.index = index;
			this.id = HostId.of("host-" + index);
			this.access = Cluster.this.log.new Access();
		}

		void start() {
			this.startedNanos = Cluster.this.time.nowNanos();
			this.lastVersion = Long.MIN_VALUE;
			this.heartbeatVersion = -1;
			this.service = new ConfigurationService(this.id, this.access, this, Cluster.this.time, Cluster.this.time,
					Cluster.this.random, Cluster.this.snapshotInterval);
			this.service.addListener(this::configurationChanged);
			this.service.start();
			sendHeartbeat(this.service);
		}

		void restart() {
			this.service.close();
			start();
		}

		boolean hasReachedLogThroughoutSince(long nanos) {
			return this.startedNanos < nanos && this.lastLogOutageNanos < nanos;
		}

		boolean hasReachedPeerThroughoutSince(Node other, long nanos) {
			return this.startedNanos < nanos && other.startedNanos < nanos
					&& Cluster.this.lastPartitionedNanos[this.index][other.index] < nanos;
		}

		private void sendHeartbeat(ConfigurationService sender) {
			if (sender == this.service) {
				this.heartbeatVersion = sender.configuration().version();
				Cluster.this.time.schedule(HEARTBEAT_INTERVAL.toNanos(), () -> sendHeartbeat(sender));
			}
		}

		private void configurationChanged(Configuration configuration) {
			assertThat(configuration.version()).as("seed %d: version of %s rises", Cluster.this.seed, this.id)
				.isGreaterThan(this.lastVersion);
			this.lastVersion = configuration.version();
			String tables = TableJson.write(configuration);
			String existingTables = Cluster.this.tablesByVersion.putIfAbsent(configuration.version(), tables);
			assertThat(tables)
				.as("seed %d: tables of version %d at %s", Cluster.this.seed, configuration.version(), this.id)
				.isEqualTo((existingTables != null) ? existingTables : tables);
		}

		@Override
		public List<PeerVersion> versions() {
			return Cluster.this.nodes.stream()
				.filter((node) -> node != this && node.group == this.group && node.service != null)
				.map((node) -> new PeerVersion(node.id, node.heartbeatVersion))
				.toList();
		}

		@Override
		public CompletableFuture<Optional<ConfigurationSnapshot>> fetch(HostId peer, long newerThan) {
			Node other = Cluster.this.nodes.stream().filter((node) -> node.id.equals(peer)).findFirst().orElseThrow();
			CompletableFuture<Optional<ConfigurationSnapshot>> answer = new CompletableFuture<>();
			int fault = Cluster.this.random.nextInt(20);
			if (fault == 0 || other.group != this.group) {
				return answer;
			}
			if (fault == 1 && !Cluster.this.oldStates.isEmpty()) {
				ConfigurationSnapshot old = Cluster.this.oldStates
					.get(Cluster.this.random.nextInt(Cluster.this.oldStates.size()));
				return CompletableFuture.completedFuture(Optional.of(old));
			}
			other.service.snapshotNewerThan(newerThan)
				.thenAccept((state) -> Cluster.this.time.schedule(
						Duration.ofMillis(Cluster.this.random.nextInt(50)).toNanos(), () -> answer.complete(state)));
			return answer;
		}

	}

}
