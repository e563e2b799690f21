package org.limpetgate.config;

import java.util.Objects;
import java.util.Optional;

import org.limpetgate.ErrorKind;

/**
 * What the fold decided about an edit; the same on every host.
 *
 * @param editId the id of the edit
 * @param offset the offset of the edit in the stream
 * @param error why the edit was rejected, empty if it was accepted
 * @param detail what is wrong with the edit, empty if it was accepted
 */
public record EditResult(String editId, long offset, Optional<ErrorKind> error, String detail) {

	/** Bound on the detail, in characters, so that kept results have a bounded size. */
	public static final int MAX_DETAIL_CHARS = 400;

	public EditResult {
		Objects.requireNonNull(editId, "editId");
		Objects.requireNonNull(error, "error");
		detail = bounded(detail, MAX_DETAIL_CHARS);
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
	 * @param error the kind, not null
	 * @param detail what is wrong, not null
	 * @return the result, not null
	 */
	public static EditResult rejected(String editId, long offset, ErrorKind error, String detail) {
		return new EditResult(editId, offset, Optional.of(error), detail);
	}

	/**
	 * Cuts a text. A surrogate pair is not split, since half of one is lost in UTF-8 and
	 * a snapshot would differ from the state that it was made from.
	 * @param text the text, not null
	 * @param maxChars the most characters
	 * @return the text or its beginning, not null
	 */
	static String bounded(String text, int maxChars) {
		if (text.length() <= maxChars) {
			return text;
		}
		boolean splitsPair = Character.isHighSurrogate(text.charAt(maxChars - 1));
		return text.substring(0, splitsPair ? maxChars - 1 : maxChars);
	}

	/**
	 * Tests whether the edit took effect.
	 * @return true if it was accepted
	 */
	public boolean isAccepted() {
		return this.error.isEmpty();
	}

}
