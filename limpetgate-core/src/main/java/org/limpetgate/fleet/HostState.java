package org.limpetgate.fleet;

import java.util.Objects;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.scheduling.FencingToken;

/**
 * The state of a host as it reports it to its peers.
 * <p>
 * Immutable and thread-safe.
 *
 * @param incarnation the host and its incarnation, not null
 * @param dataCentre its data centre, not null
 * @param leaving whether it is shutting down
 * @param ready whether it has received the queues and the list of workers
 * @param overloaded whether its event loop lags too far behind for it to be the scheduler
 * @param cpuMillis its processor share in thousandths of a core
 * @param schedulerToken the fencing token with which it schedules, NONE if it is not an
 * active scheduler
 * @param allDataCentres whether it schedules on the workers of all data centres, rather
 * than only its own
 */
public record HostState(Incarnation incarnation, DataCentreId dataCentre, boolean leaving, boolean ready,
		boolean overloaded, int cpuMillis, FencingToken schedulerToken, boolean allDataCentres) {

	public HostState {
		Objects.requireNonNull(incarnation, "incarnation");
		Objects.requireNonNull(dataCentre, "dataCentre");
		Objects.requireNonNull(schedulerToken, "schedulerToken");
	}

	/**
	 * Returns the host.
	 * @return the host, not null
	 */
	public HostId host() {
		return this.incarnation.host();
	}

}
