package org.limpetgate;

/**
 * The id that a caller assigns to its job. A caller that resubmits a job uses the same
 * id.
 * <p>
 * Immutable and thread-safe.
 */
public final class JobId extends StringId {

	private JobId(String value) {
		super(value);
	}

	/**
	 * Returns the id with the given string value.
	 * @param value 1 to 128 letters, digits and the characters {@code . _ : / -}
	 * @return the id, not null
	 * @throws IllegalArgumentException if the value is null or has another form
	 */
	public static JobId of(String value) {
		return new JobId(value);
	}

}
