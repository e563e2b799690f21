package org.limpetgate.cli;

/**
 * A file or an argument is faulty; the message names it with the path and the remedy.
 */
public final class BadInputException extends RuntimeException {

	/**
	 * Creates the exception.
	 * @param message what is faulty, where, and what to do about it
	 */
	public BadInputException(String message) {
		super(message);
	}

}
