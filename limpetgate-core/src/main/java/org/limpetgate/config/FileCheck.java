package org.limpetgate.config;

import java.nio.file.Path;

import org.limpetgate.json.JsonResult;

/**
 * Checks files of one kind without using them.
 * <p>
 * Other modules provide implementations in
 * {@code META-INF/services/org.limpetgate.config.FileCheck}; they have a public
 * constructor without parameters. Implementations keep no state.
 */
public interface FileCheck {

	/**
	 * Returns the kind of file, as the command line names it.
	 * @return the kind in lower case, not null
	 */
	String kind();

	/**
	 * Checks a file.
	 * @param file the file, not null
	 * @param content its content, not null
	 * @return a summary of what the file holds, or its problems, not null
	 */
	JsonResult<String> check(Path file, byte[] content);

}
