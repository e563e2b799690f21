package org.limpetgate.scheduling;

import org.limpetgate.DataCentreId;

/**
 * The properties of a host of {@link FleetSimulation} that do not change while its
 * process runs.
 *
 * @param number the number of the host
 * @param dataCentre its data centre
 * @param clockOffsetNanos how far its clock is ahead, in nanoseconds
 */
record HostPlace(int number, DataCentreId dataCentre, long clockOffsetNanos) {

	String name() {
		return "h" + this.number;
	}

	HostPlace withClockOffset(long offsetNanos) {
		return new HostPlace(this.number, this.dataCentre, offsetNanos);
	}

}
