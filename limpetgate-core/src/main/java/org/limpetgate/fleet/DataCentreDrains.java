package org.limpetgate.fleet;

import java.util.Set;

import org.limpetgate.DataCentreId;

/**
 * The data centres that the operators have taken out of service, as of a version of their
 * records.
 * <p>
 * Hosts learn this state from the store and from each other. Of two states, the one with
 * the higher version is the newer one. Immutable and thread-safe.
 *
 * @param version the offset up to which the operators' records were read, 0 before any
 * @param dataCentres the drained data centres, not null
 */
public record DataCentreDrains(long version, Set<DataCentreId> dataCentres) {

	/** The state before any record was read. */
	public static final DataCentreDrains NONE = new DataCentreDrains(0, Set.of());

	public DataCentreDrains {
		if (version < 0) {
			throw new IllegalArgumentException("the version of the drained data centres must not be negative");
		}
		dataCentres = Set.copyOf(dataCentres);
	}

	/**
	 * Returns the newer one of this state and another one.
	 * @param other the other state, not null
	 * @return the other state if its version is higher, else this one
	 */
	public DataCentreDrains newest(DataCentreDrains other) {
		return (other.version > this.version) ? other : this;
	}

}
