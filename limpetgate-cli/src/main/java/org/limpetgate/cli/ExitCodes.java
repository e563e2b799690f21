package org.limpetgate.cli;

/**
 * The exit codes of all commands.
 */
public final class ExitCodes {

	/** The command succeeded. */
	public static final int OK = 0;

	/** The host refused the request or cannot be reached; nothing was changed. */
	public static final int REFUSED = 1;

	/** An argument or a file is invalid; nothing was sent. */
	public static final int BAD_INPUT = 2;

	/** The result is unknown; the edit may have taken effect or may still do so. */
	public static final int UNKNOWN = 3;

	private ExitCodes() {
	}

}
