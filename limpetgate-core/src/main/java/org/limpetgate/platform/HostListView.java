package org.limpetgate.platform;

import java.util.List;

/**
 * A snapshot of the platform's host list, with its age.
 * <p>
 * A host that is missing from the list has terminated or is not listed yet. Because the
 * list is out of date, absence does not prove that a host is dead.
 *
 * @param hosts the live and leaving entry hosts
 * @param upstreams the live and leaving upstreams
 * @param ageNanos the age of the list when the platform sent it, in nanoseconds, at least
 * 0
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
