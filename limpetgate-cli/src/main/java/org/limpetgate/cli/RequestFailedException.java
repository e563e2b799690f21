package org.limpetgate.cli;

/**
 * A request to a host was refused, or its result is not known.
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
