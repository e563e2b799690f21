package org.limpetgate.submission;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;

import org.limpetgate.DataCentreId;

/**
 * The configured data centres, one of which is the home of each key.
 * <p>
 * All hosts must be configured with the same data centres: hosts with different lists
 * could claim the same key in two streams. Immutable and thread-safe.
 */
public final class DataCentres {

	private final DataCentreId local;

	private final List<DataCentreId> all;

	private final long[] idHashes;

	private DataCentres(DataCentreId local, Collection<DataCentreId> all) {
		this.local = local;
		this.all = all.stream().distinct().sorted().toList();
		if (!this.all.contains(local)) {
			throw new IllegalArgumentException("the data centres do not contain '" + local + "'; add it to the list");
		}
		this.idHashes = this.all.stream().mapToLong(DataCentres::idHash).toArray();
	}

	/**
	 * Returns the data centres.
	 * @param local the data centre of this host, not null
	 * @param all all data centres, not null
	 * @return the data centres, not null
	 * @throws IllegalArgumentException if {@code local} is not one of {@code all}
	 */
	public static DataCentres of(DataCentreId local, Collection<DataCentreId> all) {
		return new DataCentres(local, all);
	}

	/**
	 * Returns the data centre of this host.
	 * @return the data centre, not null
	 */
	public DataCentreId local() {
		return this.local;
	}

	/**
	 * Returns the home of a key by rendezvous hashing.
	 * @param key the key, not null
	 * @return the data centre whose hosts claim the key, not null
	 */
	public DataCentreId homeOf(KeyHash key) {
		int best = 0;
		long bestWeight = Long.MIN_VALUE;
		for (int i = 0; i < this.idHashes.length; i++) {
			long weight = mix(mix(key.high() ^ this.idHashes[i]) ^ key.low());
			if (weight > bestWeight) {
				best = i;
				bestWeight = weight;
			}
		}
		return this.all.get(best);
	}

	private static long idHash(DataCentreId id) {
		return KeyHash.ofBytes(KeyHash.sha256().digest(id.value().getBytes(StandardCharsets.US_ASCII))).high();
	}

	// The finalizer of SplitMix64.
	private static long mix(long value) {
		long z = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
		z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
		return z ^ (z >>> 31);
	}

}
