package org.limpetgate.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.limpetgate.ErrorKind;
import org.limpetgate.json.JsonResult;

/**
 * Reads and parses the files that commands take as arguments.
 */
public final class InputFiles {

	private InputFiles() {
	}

	/**
	 * Reads a file.
	 * @param file the file, not null
	 * @return the content, not null
	 * @throws BadInputException if the file cannot be read
	 */
	public static byte[] read(Path file) {
		try {
			return Files.readAllBytes(file);
		}
		catch (IOException ex) {
			throw new BadInputException(file + ": $: cannot be read (" + ex + "); give the path of a readable file");
		}
	}

	/**
	 * Returns the parsed value, or throws with the problems found in the file.
	 * @param <T> the type of the value
	 * @param result the parsed value or the problems, not null
	 * @return the value, not null
	 * @throws BadInputException if there are problems; the message lists them one per
	 * line
	 */
	public static <T> T valueOf(JsonResult<T> result) {
		if (!result.isValid()) {
			throw new BadInputException(result.problemText());
		}
		return result.orThrow(ErrorKind.INVALID_EDIT);
	}

}
