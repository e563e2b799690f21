package org.limpetgate.json;

import java.util.Objects;

/**
 * A fault in a JSON document.
 *
 * @param source the file or other origin of the document
 * @param path the JSON path of the faulty part, {@code $} for the whole document
 * @param message what is wrong
 * @param remedy what to do about it
 */
public record JsonProblem(String source, String path, String message, String remedy) {

	public JsonProblem {
		Objects.requireNonNull(source, "source");
		Objects.requireNonNull(path, "path");
		Objects.requireNonNull(message, "message");
		Objects.requireNonNull(remedy, "remedy");
	}

	@Override
	public String toString() {
		return this.source + ": " + this.path + ": " + this.message + "; " + this.remedy;
	}

}
