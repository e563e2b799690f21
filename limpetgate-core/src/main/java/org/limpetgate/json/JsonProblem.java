package org.limpetgate.json;

import java.util.Objects;

/**
 * An error in a JSON document.
 *
 * @param source the file or other origin of the document
 * @param path the JSON path of the error, {@code $} for the root of the document
 * @param message what is wrong
 * @param remedy how to correct it
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
