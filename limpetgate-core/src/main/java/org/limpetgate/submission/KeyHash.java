package org.limpetgate.submission;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

import org.limpetgate.CallerId;
import org.limpetgate.SubmissionKey;

/**
 * Identifies a submission in claims: the first 12 bytes of SHA-256 over caller and key.
 * <p>
 * The hash is short because every host of a data centre reads and retains every claim.
 * With 11 million claims in memory, the probability that a new claim collides with
 * another key is 1 in 7e21.
 *
 * @param high the first 8 bytes
 * @param low the next 4 bytes
 */
public record KeyHash(long high, int low) {

	/** The number of bytes. */
	public static final int BYTES = 12;

	/**
	 * Returns the hash of a caller's key.
	 * @param caller the caller, not null
	 * @param key the key, not null
	 * @return the hash, not null
	 */
	public static KeyHash of(CallerId caller, SubmissionKey key) {
		MessageDigest digest = sha256();
		digest.update(caller.value().getBytes(StandardCharsets.US_ASCII));
		digest.update((byte) 0);
		digest.update(key.value().getBytes(StandardCharsets.US_ASCII));
		return ofBytes(digest.digest());
	}

	/**
	 * Returns the hash in the first 12 bytes of an array.
	 * @param bytes at least 12 bytes
	 * @return the hash, not null
	 */
	public static KeyHash ofBytes(byte[] bytes) {
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		return new KeyHash(buffer.getLong(), buffer.getInt());
	}

	/**
	 * Returns the hash as bytes.
	 * @return 12 bytes, not null
	 */
	public byte[] toBytes() {
		return ByteBuffer.allocate(BYTES).putLong(this.high).putInt(this.low).array();
	}

	static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("the Java runtime has no SHA-256; use a complete runtime", ex);
		}
	}

}
