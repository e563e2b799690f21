package org.limpetgate.host.operator;

import java.util.List;
import java.util.Objects;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;

/**
 * The configuration versions of all hosts, as known to this host.
 * <p>
 * Implementations are thread-safe.
 */
@FunctionalInterface
public interface ClusterStatus {

	/**
	 * Returns the known hosts, including this one.
	 * @return the hosts, not null
	 */
	List<HostVersion> hosts();

	/**
	 * The version that a host has in force.
	 *
	 * @param host the host
	 * @param dataCentre its data centre
	 * @param version the version from its latest heartbeat
	 * @param behindNanos how long the host has been behind the newest version known, 0 if
	 * it is not behind
	 * @param heartbeatAgeNanos the age of its latest heartbeat
	 */
	record HostVersion(HostId host, DataCentreId dataCentre, long version, long behindNanos, long heartbeatAgeNanos) {

		public HostVersion {
			Objects.requireNonNull(host, "host");
			Objects.requireNonNull(dataCentre, "dataCentre");
		}

	}

}
