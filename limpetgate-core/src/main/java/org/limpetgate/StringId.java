package org.limpetgate;

import java.util.regex.Pattern;

/**
 * Base class of ids that consist of a short string.
 * <p>
 * An id has 1 to 128 characters, which are letters, digits or one of {@code . _ : / -},
 * so that it needs no quoting in URL paths, log lines and metric labels.
 * <p>
 * Subclasses are immutable and thread-safe.
 */
public abstract class StringId implements Comparable<StringId> {

	private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9._:/-]{1,128}");

	private final String value;

	StringId(String value) {
		if (value == null || !ALLOWED.matcher(value).matches()) {
			throw new IllegalArgumentException(getClass().getSimpleName() + " '" + value
					+ "' is not valid; use 1 to 128 letters, digits and the characters . _ : / -");
		}
		this.value = value;
	}

	/**
	 * Returns the id as a string.
	 * @return the string, never null or empty
	 */
	public final String value() {
		return this.value;
	}

	@Override
	public final int compareTo(StringId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public final boolean equals(Object obj) {
		return obj != null && getClass() == obj.getClass() && this.value.equals(((StringId) obj).value);
	}

	@Override
	public final int hashCode() {
		return this.value.hashCode();
	}

	@Override
	public final String toString() {
		return this.value;
	}

}
