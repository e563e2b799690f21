package org.limpetgate.cli;

/**
 * Thrown if a host refuses a request or cannot be reached, or if the result of an edit is
 * unknown.
 */
final class RequestFailedException extends RuntimeException {

	private final int exitCode;

	RequestFailedException(int exitCode, String message) {
		super(message);
		this.exitCode = exitCode;
	}

	int exitCode() {
		return this.exitCode;
	}

}
