package org.limpetgate.config;

import java.nio.file.Path;

import org.limpetgate.json.JsonResult;

/**
 * Validates files of one kind without applying them.
 * <p>
 * Other modules register implementations in
 * {@code META-INF/services/org.limpetgate.config.FileCheck}. An implementation has a
 * public constructor without parameters and is stateless.
 */
public interface FileCheck {

	/**
	 * Returns the kind of file, as used on the command line.
	 * @return the kind in lower case, not null
	 */
	String kind();

	/**
	 * Validates a file.
	 * @param file the file, not null
	 * @param content its content, not null
	 * @return a summary of the content, or its problems, not null
	 */
	JsonResult<String> check(Path file, byte[] content);

}
