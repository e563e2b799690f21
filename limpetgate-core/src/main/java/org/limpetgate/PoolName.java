package org.limpetgate;

/**
 * The name of a pool, which routes refer to.
 * <p>
 * Immutable and thread-safe.
 */
public final class PoolName extends StringId {

	private PoolName(String value) {
		super(value);
	}

	/**
	 * Returns the name with the given string value.
	 * @param value 1 to 128 letters, digits and the characters {@code . _ : / -}
	 * @return the name, not null
	 * @throws IllegalArgumentException if the value is null or has another form
	 */
	public static PoolName of(String value) {
		return new PoolName(value);
	}

}
