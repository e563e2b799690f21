package org.limpetgate.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous hashing: every host ranks the same candidates for a key in the same order.
 * <p>
 * A candidate that is added or removed moves only the keys that it wins or loses.
 */
public final class Rendezvous {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private Rendezvous() {
	}

	/**
	 * Returns the candidates, the best for the key first.
	 * @param <T> the type of the candidates, whose {@code toString} names them
	 * @param key the key, not null
	 * @param candidates the candidates, not null
	 * @return the ranking, not null
	 */
	public static <T> List<T> rank(String key, Collection<? extends T> candidates) {
		Comparator<T> byWeight = Comparator.comparingLong((T candidate) -> weight(key, candidate.toString()));
		return candidates.stream()
			.<T>map((candidate) -> candidate)
			.sorted(byWeight.reversed().thenComparing(Object::toString))
			.toList();
	}

	private static long weight(String key, String candidate) {
		long hash = FNV_OFFSET;
		hash = add(hash, key);
		hash = add(hash, "|");
		hash = add(hash, candidate);
		return mix(hash);
	}

	private static long add(long hash, String text) {
		long result = hash;
		for (byte value : text.getBytes(StandardCharsets.UTF_8)) {
			result = (result ^ (value & 0xff)) * FNV_PRIME;
		}
		return result;
	}

	// The finalizer of MurmurHash3: FNV-1a alone spreads short suffixes badly over the
	// high bits.
	private static long mix(long value) {
		long result = value;
		result = (result ^ (result >>> 33)) * 0xff51afd7ed558ccdL;
		result = (result ^ (result >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return result ^ (result >>> 33);
	}

}
