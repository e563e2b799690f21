package org.limpetgate.host.settings;

import java.util.Objects;

/**
 * The destination of log lines.
 *
 * @param path the file, empty for standard error
 * @param maxBytes the size at which a file is rotated
 * @param files the number of files to keep
 */
public record LogFile(String path, long maxBytes, int files) {

	/** Default size at which a file is rotated, in bytes. */
	public static final long DEFAULT_MAX_BYTES = 16L * 1024 * 1024;

	/** Default number of files to keep. */
	public static final int DEFAULT_FILES = 2;

	/** Standard error. */
	public static final LogFile STANDARD_ERROR = new LogFile("", DEFAULT_MAX_BYTES, DEFAULT_FILES);

	public LogFile {
		Objects.requireNonNull(path, "path");
	}

}
