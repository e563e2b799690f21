package org.limpetgate.net.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import javax.crypto.SecretKey;
import javax.crypto.spec.SecretKeySpec;

/**
 * The shared keys that authenticate hosts on links.
 * <p>
 * A host authenticates itself with its current key and accepts every configured key. To
 * rotate keys without an interruption, first add the new key on all hosts, then make it
 * the current one on all hosts, then remove the old one. Links that were opened with a
 * removed key are closed.
 * <p>
 * Thread-safe.
 */
public final class PeerKeys {

	/** The output size of HMAC-SHA256; a shorter key weakens the proof. */
	private static final int MIN_KEY_BYTES = 32;

	private volatile Ring ring;

	private PeerKeys(Ring ring) {
		this.ring = ring;
	}

	/**
	 * Returns a set of keys.
	 * @param currentId the id of the key with which this host authenticates itself
	 * @param keys the keys by id, each of at least 32 bytes
	 * @return the keys, not null
	 * @throws IllegalArgumentException if the current key is missing or a key is too
	 * short
	 */
	public static PeerKeys of(String currentId, Map<String, byte[]> keys) {
		return new PeerKeys(Ring.of(currentId, keys));
	}

	/**
	 * Replaces all keys.
	 * @param currentId the id of the key with which this host authenticates itself
	 * @param keys the keys by id, each of at least 32 bytes
	 * @throws IllegalArgumentException if the current key is missing or a key is too
	 * short
	 */
	public void replace(String currentId, Map<String, byte[]> keys) {
		this.ring = Ring.of(currentId, keys);
	}

	String currentId() {
		return this.ring.currentId();
	}

	/**
	 * Returns a key.
	 * @param id the id
	 * @return the key, null if none has this id
	 */
	SecretKey find(String id) {
		return this.ring.keys().get(id);
	}

	/**
	 * Tests whether a key is still configured.
	 * @param id the id
	 * @param key the key that had the id
	 * @return true if this key is still configured under the id
	 */
	boolean contains(String id, SecretKey key) {
		return Objects.equals(find(id), key);
	}

	private record Ring(String currentId, Map<String, SecretKey> keys) {

		static Ring of(String currentId, Map<String, byte[]> keys) {
			Map<String, SecretKey> secrets = new HashMap<>();
			keys.forEach((id, key) -> {
				if (key.length < MIN_KEY_BYTES) {
					throw new IllegalArgumentException("peer key '" + id + "' has " + key.length
							+ " bytes; use at least " + MIN_KEY_BYTES + " random bytes");
				}
				secrets.put(id, new SecretKeySpec(key, "HmacSHA256"));
			});
			if (!secrets.containsKey(currentId)) {
				throw new IllegalArgumentException(
						"the current peer key '" + currentId + "' is not configured; add it or choose another");
			}
			return new Ring(currentId, Map.copyOf(secrets));
		}

	}

}
