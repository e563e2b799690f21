package org.limpetgate;

/**
 * The name of a route.
 * <p>
 * Immutable and thread-safe.
 */
public final class RouteName extends StringId {

	private RouteName(String value) {
		super(value);
	}

	/**
	 * Returns the name with the given string value.
	 * @param value 1 to 128 letters, digits and the characters {@code . _ : / -}
	 * @return the name, not null
	 * @throws IllegalArgumentException if the value is null or has another form
	 */
	public static RouteName of(String value) {
		return new RouteName(value);
	}

}
