package org.limpetgate.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.host.operator.ClusterStatus;
import org.limpetgate.membership.DataCentreDigest;
import org.limpetgate.membership.Member;

/**
 * Tracks which version of the tables each host has in force and for how long a host has
 * been behind.
 * <p>
 * For other data centres only the lowest version is known; it is shown for each of their
 * hosts. {@link #hosts()} is thread-safe; everything else is confined to the control
 * thread.
 */
final class VersionTracker implements TickedComponent, ClusterStatus {

	private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	private final HostId self;

	private final DataCentreId dataCentre;

	private final List<DataCentreId> dataCentres;

	private final LongSupplier localVersion;

	private final PeerService peers;

	private final Map<HostId, Long> behindSinceNanos = new HashMap<>();

	private volatile List<HostVersion> hosts = List.of();

	private long nextUpdateNanos;

	VersionTracker(HostId self, DataCentreId dataCentre, List<DataCentreId> dataCentres, LongSupplier localVersion,
			PeerService peers) {
		this.self = self;
		this.dataCentre = dataCentre;
		this.dataCentres = dataCentres;
		this.localVersion = localVersion;
		this.peers = peers;
	}

	@Override
	public void tick(long nowNanos) {
		if (nowNanos < this.nextUpdateNanos) {
			return;
		}
		this.nextUpdateNanos = nowNanos + INTERVAL_NANOS;
		List<ObservedHost> observedHosts = observedHosts(nowNanos);
		long newest = observedHosts.stream().mapToLong(ObservedHost::version).max().orElseThrow();
		List<HostVersion> versions = new ArrayList<>();
		for (ObservedHost host : observedHosts) {
			versions.add(new HostVersion(host.host(), host.dataCentre(), host.version(),
					behindNanos(host, newest, nowNanos), nowNanos - host.lastHeartbeatNanos()));
		}
		this.hosts = List.copyOf(versions);
	}

	private long behindNanos(ObservedHost host, long newest, long nowNanos) {
		if (host.version() >= newest) {
			this.behindSinceNanos.remove(host.host());
			return 0;
		}
		return nowNanos - this.behindSinceNanos.computeIfAbsent(host.host(), (key) -> nowNanos);
	}

	private List<ObservedHost> observedHosts(long nowNanos) {
		List<ObservedHost> observedHosts = new ArrayList<>();
		observedHosts.add(new ObservedHost(this.self, this.dataCentre, this.localVersion.getAsLong(), nowNanos));
		for (Member member : this.peers.members()) {
			if (member.heartbeat() != null) {
				observedHosts.add(new ObservedHost(member.address().host(), member.address().dataCentre(),
						member.heartbeat().configurationVersion(), member.lastHeartbeatNanos()));
			}
		}
		for (DataCentreId other : this.dataCentres) {
			this.peers.digest(other)
				.ifPresent((digest) -> addDigest(observedHosts, digest, this.peers.digestReceivedNanos(other)));
		}
		return observedHosts;
	}

	private static void addDigest(List<ObservedHost> observedHosts, DataCentreDigest digest, long receivedNanos) {
		digest.members()
			.keySet()
			.forEach((incarnation) -> observedHosts.add(new ObservedHost(incarnation.host(), digest.dataCentre(),
					digest.lowestConfigurationVersion(), receivedNanos)));
	}

	@Override
	public long nextWakeNanos() {
		return this.nextUpdateNanos;
	}

	@Override
	public List<HostVersion> hosts() {
		return this.hosts;
	}

	private record ObservedHost(HostId host, DataCentreId dataCentre, long version, long lastHeartbeatNanos) {
	}

}
