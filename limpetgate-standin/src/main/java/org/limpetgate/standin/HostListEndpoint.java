package org.limpetgate.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.limpetgate.net.platform.HostListCodec;
import org.limpetgate.net.platform.HttpHostList;
import org.limpetgate.platform.HostListView;
import org.limpetgate.platform.ListedHost;
import org.limpetgate.platform.ListedUpstream;

/**
 * The host list of a {@link PlatformStandIn}. Readers see each change after a
 * configurable lag.
 * <p>
 * Not thread-safe: confined to the event loop of the stand-in.
 */
final class HostListEndpoint {

	private static final int MAX_VERSIONS = 1_000;

	private final long lagNanos;

	private final Deque<Version> versions = new ArrayDeque<>();

	private long frozenAtNanos = Long.MAX_VALUE;

	HostListEndpoint(Duration lag) {
		this.lagNanos = lag.toNanos();
		this.versions.add(new Version(Long.MIN_VALUE, List.of(), List.of()));
	}

	void update(HostListView list, long nowNanos) {
		if (this.versions.size() >= MAX_VERSIONS) {
			this.versions.removeFirst();
		}
		this.versions.addLast(new Version(nowNanos, list.hosts(), list.upstreams()));
	}

	void freeze(boolean frozen, long nowNanos) {
		if (!frozen) {
			this.frozenAtNanos = Long.MAX_VALUE;
		}
		else if (this.frozenAtNanos == Long.MAX_VALUE) {
			this.frozenAtNanos = nowNanos;
		}
	}

	StandInResponse read(Query query, long nowNanos) {
		long asOfNanos = Math.min(nowNanos, this.frozenAtNanos) - this.lagNanos;
		while (this.versions.size() > 1 && secondVersion().nanos <= asOfNanos) {
			this.versions.removeFirst();
		}
		Version version = this.versions.getFirst();
		String versionNumber = Long.toString(version.nanos);
		long ageNanos = nowNanos - asOfNanos;
		Map<String, String> headers = Map.of("content-type", "application/json", HttpHostList.VERSION_HEADER,
				versionNumber, HttpHostList.AGE_HEADER, Long.toString(TimeUnit.NANOSECONDS.toMillis(ageNanos)));
		if (versionNumber.equals(query.optionalText("version"))) {
			return StandInResponse.complete(200, headers, new byte[0]);
		}
		List<ListedUpstream> upstreams = upstreams(version, query.optionalText("upstreamsOf"));
		return StandInResponse.complete(200, headers,
				HostListCodec.encode(new HostListView(version.hosts, upstreams, ageNanos)));
	}

	private static List<ListedUpstream> upstreams(Version version, String dataCentre) {
		return version.upstreams.stream()
			.filter((upstream) -> dataCentre.isEmpty() || upstream.dataCentre().value().equals(dataCentre))
			.toList();
	}

	private Version secondVersion() {
		Version first = this.versions.removeFirst();
		Version second = this.versions.getFirst();
		this.versions.addFirst(first);
		return second;
	}

	/**
	 * A version of the list.
	 *
	 * @param nanos the time at which the version was set; also its version number
	 * @param hosts the entry hosts
	 * @param upstreams the upstreams
	 */
	private record Version(long nanos, List<ListedHost> hosts, List<ListedUpstream> upstreams) {
	}

}
