package org.limpetgate.submission;

import java.util.Objects;

import org.limpetgate.Incarnation;

/**
 * The request of an incarnation for the exclusive right to start the job of a key.
 *
 * @param key the hash of caller and key
 * @param fingerprint the fingerprint of the submission, below 2^48
 * @param holder the incarnation that makes the claim
 * @param expiryNanos the expiry of the submission, in nanoseconds since the Unix epoch
 * @param generation 0 for the first claim; increased by one when an idempotent job is
 * claimed again because its holder is dead
 */
public record Claim(KeyHash key, long fingerprint, Incarnation holder, long expiryNanos, int generation) {

	/** The number of bytes of a fingerprint. */
	public static final int FINGERPRINT_BYTES = 6;

	public Claim {
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(holder, "holder");
		if (fingerprint >>> (FINGERPRINT_BYTES * Byte.SIZE) != 0) {
			throw new IllegalArgumentException("fingerprint " + fingerprint + " has more than " + FINGERPRINT_BYTES
					+ " bytes; use only the leading bytes");
		}
		if (generation < 0) {
			throw new IllegalArgumentException("generation " + generation + " is negative; use 0 or more");
		}
	}

}
