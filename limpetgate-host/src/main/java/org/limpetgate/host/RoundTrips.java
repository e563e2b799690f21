package org.limpetgate.host;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

import org.limpetgate.DataCentreId;

/**
 * The round-trip times to other data centres.
 * <p>
 * Not thread-safe: it belongs to the control thread.
 */
final class RoundTrips {

	private static final double SMOOTHING = 0.2;

	private final Map<DataCentreId, Double> means = new HashMap<>();

	void add(DataCentreId dataCentre, long nanos) {
		this.means.merge(dataCentre, (double) nanos, (mean, sample) -> mean + SMOOTHING * (sample - mean));
	}

	OptionalLong nanos(DataCentreId dataCentre) {
		Double mean = this.means.get(dataCentre);
		return (mean != null) ? OptionalLong.of(mean.longValue()) : OptionalLong.empty();
	}

}
