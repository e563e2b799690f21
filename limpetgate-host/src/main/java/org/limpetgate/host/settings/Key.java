package org.limpetgate.host.settings;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

import org.limpetgate.HostId;

/**
 * A shared secret with its id. The secret never appears in logs or messages.
 */
public final class Key {

	/** Minimum length of a secret; 32 hexadecimal digits hold 128 bits. */
	public static final int MIN_SECRET_CHARS = 32;

	private final String id;

	private final String secret;

	private Key(String id, String secret) {
		this.id = Objects.requireNonNull(id, "id");
		this.secret = Objects.requireNonNull(secret, "secret");
	}

	/**
	 * Returns a key.
	 * @param id the id, not null
	 * @param secret the secret, at least {@value #MIN_SECRET_CHARS} characters
	 * @return the key, not null
	 * @throws IllegalArgumentException if the id is not valid as a host id, or the secret
	 * is too short
	 */
	public static Key of(String id, String secret) {
		HostId.of(id);
		return new Key(id, requireValidSecret(secret));
	}

	static String requireValidSecret(String secret) {
		if (secret.length() < MIN_SECRET_CHARS) {
			throw new IllegalArgumentException("the secret has " + secret.length() + " characters; use at least "
					+ MIN_SECRET_CHARS + " random ones");
		}
		return secret;
	}

	/**
	 * Returns the id.
	 * @return the id, not null
	 */
	public String id() {
		return this.id;
	}

	/**
	 * Returns the secret for use in a message authentication code.
	 * @return the bytes, not null; a copy
	 */
	public byte[] secret() {
		return this.secret.getBytes(StandardCharsets.UTF_8);
	}

	@Override
	public boolean equals(Object obj) {
		return obj instanceof Key other && this.id.equals(other.id) && this.secret.equals(other.secret);
	}

	@Override
	public int hashCode() {
		return this.id.hashCode();
	}

	@Override
	public String toString() {
		return "key " + this.id;
	}

}
