package org.limpetgate;

/**
 * The id of a data centre.
 * <p>
 * Immutable and thread-safe.
 */
public final class DataCentreId extends StringId {

	private DataCentreId(String value) {
		super(value);
	}

	/**
	 * Returns the id with the given string value.
	 * @param value 1 to 128 letters, digits and the characters {@code . _ : / -}
	 * @return the id, not null
	 * @throws IllegalArgumentException if the value is null or has another form
	 */
	public static DataCentreId of(String value) {
		return new DataCentreId(value);
	}

}
