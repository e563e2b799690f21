package org.limpetgate.cli;

/**
 * Thrown if a file or an argument is invalid. The message names it, the position of the
 * problem and the remedy.
 */
public final class BadInputException extends RuntimeException {

	/**
	 * Creates the exception.
	 * @param message the problem, its position and the remedy
	 */
	public BadInputException(String message) {
		super(message);
	}

}
