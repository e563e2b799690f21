package org.limpetgate;

/**
 * The name of a pool, by which routes refer to it.
 * <p>
 * Immutable and thread-safe.
 */
public final class PoolName extends StringId {

	private PoolName(String value) {
		super(value);
	}

	/**
	 * Returns the id with the given string value.
	 * @param value 1 to 128 letters, digits and the characters {@code . _ : / -}
	 * @return the id, not null
	 * @throws IllegalArgumentException if the value is null or has another form
	 */
	public static PoolName of(String value) {
		return new PoolName(value);
	}

}
