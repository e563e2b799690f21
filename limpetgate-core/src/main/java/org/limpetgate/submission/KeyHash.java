package org.limpetgate.submission;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

import org.limpetgate.CallerId;
import org.limpetgate.SubmissionKey;

/**
 * The identity of a submission in claims: the first 16 bytes of SHA-256 over caller and
 * key.
 *
 * @param high the first 8 bytes
 * @param low the next 8 bytes
 */
public record KeyHash(long high, long low) {

	/** The number of bytes. */
	public static final int BYTES = 16;

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
	 * Returns the hash in the first 16 bytes of an array.
	 * @param bytes at least 16 bytes
	 * @return the hash, not null
	 */
	public static KeyHash ofBytes(byte[] bytes) {
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		return new KeyHash(buffer.getLong(), buffer.getLong());
	}

	/**
	 * Returns the hash as bytes.
	 * @return 16 bytes, not null
	 */
	public byte[] toBytes() {
		return ByteBuffer.allocate(BYTES).putLong(this.high).putLong(this.low).array();
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
