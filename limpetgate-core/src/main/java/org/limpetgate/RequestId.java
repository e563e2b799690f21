package org.limpetgate;

/**
 * The id that a caller gives to one request, so that the log lines about it can be found.
 * Each attempt of a caller may have an id of its own.
 * <p>
 * Immutable and thread-safe.
 */
public final class RequestId extends StringId {

	/** The id of a request that has none. */
	public static final RequestId NONE = new RequestId("-");

	private RequestId(String value) {
		super(value);
	}

	/**
	 * Returns the id with the given string value.
	 * @param value 1 to 128 letters, digits and the characters {@code . _ : / -}
	 * @return the id, not null
	 * @throws IllegalArgumentException if the value is null or has another form
	 */
	public static RequestId of(String value) {
		return new RequestId(value);
	}

}
