package org.limpetgate.platform;

import java.util.List;

/**
 * The platform's host list as it was some time ago.
 * <p>
 * A host that is missing from the list has ended or is not listed yet; the list lags, so
 * neither is proof that a host is dead.
 *
 * @param hosts the live and leaving entry hosts
 * @param upstreams the live and leaving upstreams
 * @param ageNanos how old the list was when the platform answered, in nanoseconds, at
 * least 0
 */
public record HostListView(List<ListedHost> hosts, List<ListedUpstream> upstreams, long ageNanos) {

	public HostListView {
		hosts = List.copyOf(hosts);
		upstreams = List.copyOf(upstreams);
		if (ageNanos < 0) {
			throw new IllegalArgumentException("ageNanos must be at least 0, not " + ageNanos);
		}
	}

}
