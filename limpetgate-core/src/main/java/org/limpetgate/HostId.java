package org.limpetgate;

/**
 * The id of an entry host, unique across all data centres and stable across restarts.
 * <p>
 * Immutable and thread-safe.
 */
public final class HostId extends StringId {

	private HostId(String value) {
		super(value);
	}

	/**
	 * Returns the id with the given string value.
	 * @param value 1 to 128 letters, digits and the characters {@code . _ : / -}
	 * @return the id, not null
	 * @throws IllegalArgumentException if the value is null or has another form
	 */
	public static HostId of(String value) {
		return new HostId(value);
	}

}
