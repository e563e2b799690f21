package org.limpetgate;

/**
 * The id of a caller: a team or an application that has its own quota.
 * <p>
 * Immutable and thread-safe.
 */
public final class CallerId extends StringId {

	private CallerId(String value) {
		super(value);
	}

	/**
	 * Returns the id with the given string value.
	 * @param value 1 to 128 letters, digits and the characters {@code . _ : / -}
	 * @return the id, not null
	 * @throws IllegalArgumentException if the value is null or has another form
	 */
	public static CallerId of(String value) {
		return new CallerId(value);
	}

}
