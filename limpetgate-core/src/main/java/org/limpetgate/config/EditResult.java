package org.limpetgate.config;

import java.util.Objects;
import java.util.Optional;

import org.limpetgate.ErrorKind;

/**
 * The result of applying an edit; the same on every host.
 *
 * @param editId the id of the edit
 * @param offset the offset of the edit in the stream
 * @param error why the edit was rejected, empty if it was accepted
 * @param detail the error message, empty if it was accepted
 */
public record EditResult(String editId, long offset, Optional<ErrorKind> error, String detail) {

	/** Limit of the detail, in characters, so that stored results have a bounded size. */
	public static final int MAX_DETAIL_CHARS = 400;

	public EditResult {
		Objects.requireNonNull(editId, "editId");
		Objects.requireNonNull(error, "error");
		detail = truncate(detail, MAX_DETAIL_CHARS);
	}

	/**
	 * Returns the result of an accepted edit.
	 * @param editId the id of the edit, not null
	 * @param offset the offset of the edit, which is the new version of the row
	 * @return the result, not null
	 */
	public static EditResult accepted(String editId, long offset) {
		return new EditResult(editId, offset, Optional.empty(), "");
	}

	/**
	 * Returns the result of a rejected edit.
	 * @param editId the id of the edit, not null
	 * @param offset the offset of the edit
	 * @param error the kind of the error, not null
	 * @param detail the error message, not null
	 * @return the result, not null
	 */
	public static EditResult rejected(String editId, long offset, ErrorKind error, String detail) {
		return new EditResult(editId, offset, Optional.of(error), detail);
	}

	/**
	 * Truncates a text. A surrogate pair is not split, since half of one is lost in UTF-8
	 * and a decoded snapshot would differ from the original state.
	 * @param text the text, not null
	 * @param maxChars the maximum number of characters
	 * @return the text, truncated if necessary, not null
	 */
	static String truncate(String text, int maxChars) {
		if (text.length() <= maxChars) {
			return text;
		}
		boolean splitsPair = Character.isHighSurrogate(text.charAt(maxChars - 1));
		return text.substring(0, splitsPair ? maxChars - 1 : maxChars);
	}

	/**
	 * Tests whether the edit was accepted and has taken effect.
	 * @return true if it was accepted
	 */
	public boolean isAccepted() {
		return this.error.isEmpty();
	}

}
