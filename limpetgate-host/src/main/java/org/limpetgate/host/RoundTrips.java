package org.limpetgate.host;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

import org.limpetgate.DataCentreId;

/**
 * The exponentially smoothed round-trip times to other data centres.
 * <p>
 * Not thread-safe: confined to the control thread.
 */
final class RoundTrips {

	private static final double SMOOTHING_FACTOR = 0.2;

	private final Map<DataCentreId, Double> meanNanos = new HashMap<>();

	void add(DataCentreId dataCentre, long nanos) {
		this.meanNanos.merge(dataCentre, (double) nanos, (mean, sample) -> mean + SMOOTHING_FACTOR * (sample - mean));
	}

	OptionalLong nanos(DataCentreId dataCentre) {
		Double mean = this.meanNanos.get(dataCentre);
		return (mean != null) ? OptionalLong.of(mean.longValue()) : OptionalLong.empty();
	}

}
