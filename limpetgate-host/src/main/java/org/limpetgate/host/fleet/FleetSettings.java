package org.limpetgate.host.fleet;

import java.net.InetSocketAddress;
import java.util.List;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.scheduling.SchedulerSettings;

/**
 * The settings of an entry host of a fleet.
 * <p>
 * Immutable and thread-safe.
 *
 * @param dataCentre the data centre of the host, not null
 * @param peerAddress the address at which other hosts reach it, not null
 * @param seeds the hosts to contact first, to discover the others; some may no longer
 * exist
 * @param cpuMillis the host's processor share in thousandths of a core
 * @param peerKey the secret that all hosts share, at least 32 bytes
 * @param scheduler the settings of the scheduler, not null
 */
public record FleetSettings(DataCentreId dataCentre, InetSocketAddress peerAddress, List<HostId> seeds, int cpuMillis,
		byte[] peerKey, SchedulerSettings scheduler) {

	public FleetSettings {
		seeds = List.copyOf(seeds);
	}

	/**
	 * Returns the id of the host, which is the address at which others reach it.
	 * @return the id, not null
	 */
	public HostId host() {
		return HostId.of(this.peerAddress.getAddress().getHostAddress() + ":" + this.peerAddress.getPort());
	}

}
