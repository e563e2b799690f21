package org.limpetgate;

/**
 * The key that a caller assigns to a submission, unique for that caller until the expiry
 * of the submission.
 * <p>
 * Immutable and thread-safe.
 */
public final class SubmissionKey extends StringId {

	private SubmissionKey(String value) {
		super(value);
	}

	/**
	 * Returns the key with the given string value.
	 * @param value 1 to 128 letters, digits and the characters {@code . _ : / -}
	 * @return the key, not null
	 * @throws IllegalArgumentException if the value is null or has another form
	 */
	public static SubmissionKey of(String value) {
		return new SubmissionKey(value);
	}

}
