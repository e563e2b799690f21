package org.limpetgate;

/**
 * The id of an upstream, unique across all pools.
 * <p>
 * Immutable and thread-safe.
 */
public final class UpstreamId extends StringId {

	private UpstreamId(String value) {
		super(value);
	}

	/**
	 * Returns the id with the given string value.
	 * @param value 1 to 128 letters, digits and the characters {@code . _ : / -}
	 * @return the id, not null
	 * @throws IllegalArgumentException if the value is null or has another form
	 */
	public static UpstreamId of(String value) {
		return new UpstreamId(value);
	}

}
