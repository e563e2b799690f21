package org.limpetgate.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.limpetgate.ErrorKind;
import org.limpetgate.json.JsonResult;

/**
 * Reads input files.
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
			throw new BadInputException(
					file + ": $: cannot be read (" + ex + "); give the path of a file that you may read");
		}
	}

	/**
	 * Returns the value of a file.
	 * @param <T> the type of the value
	 * @param result the value or the problems, not null
	 * @return the value, not null
	 * @throws BadInputException with all problems, one a line
	 */
	public static <T> T valueOf(JsonResult<T> result) {
		if (!result.isValid()) {
			throw new BadInputException(result.problemText());
		}
		return result.orThrow(ErrorKind.INVALID_EDIT);
	}

}
