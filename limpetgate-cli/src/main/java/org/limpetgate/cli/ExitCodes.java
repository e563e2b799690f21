package org.limpetgate.cli;

/**
 * The exit codes of all commands.
 */
public final class ExitCodes {

	/** Done. */
	public static final int OK = 0;

	/** The system refused the request or cannot be reached; nothing was changed. */
	public static final int REFUSED = 1;

	/** The arguments or a file are faulty; nothing was sent. */
	public static final int BAD_INPUT = 2;

	/** The edit may have taken effect or may do so yet. */
	public static final int UNKNOWN = 3;

	private ExitCodes() {
	}

}
