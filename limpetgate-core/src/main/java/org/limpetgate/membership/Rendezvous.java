package org.limpetgate.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous hashing: every host ranks the same candidates for a key in the same order.
 * <p>
 * When a candidate is added or removed, only the keys for which it ranks first are
 * reassigned.
 */
public final class Rendezvous {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private Rendezvous() {
	}

	/**
	 * Ranks the candidates for a key, the one with the highest weight first.
	 * @param <T> the type of the candidates, identified by their {@code toString}
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
		hash = hashText(hash, key);
		hash = hashText(hash, "|");
		hash = hashText(hash, candidate);
		return mix(hash);
	}

	private static long hashText(long hash, String text) {
		long result = hash;
		for (byte value : text.getBytes(StandardCharsets.UTF_8)) {
			result = (result ^ (value & 0xff)) * FNV_PRIME;
		}
		return result;
	}

	// The finalizer of MurmurHash3, because FNV-1a alone hardly changes the high bits
	// for inputs that differ only in a short suffix.
	private static long mix(long value) {
		long result = value;
		result = (result ^ (result >>> 33)) * 0xff51afd7ed558ccdL;
		result = (result ^ (result >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return result ^ (result >>> 33);
	}

}
