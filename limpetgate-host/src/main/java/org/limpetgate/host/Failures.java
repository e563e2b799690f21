package org.limpetgate.host;

import java.util.concurrent.CompletionException;

import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;

/**
 * Finds the typed error in the failure of a future.
 */
final class Failures {

	private Failures() {
	}

	static DispatchException toDispatchException(Throwable failure) {
		Throwable cause = failure;
		while (cause instanceof CompletionException && cause.getCause() != null) {
			cause = cause.getCause();
		}
		return (cause instanceof DispatchException known) ? known
				: DispatchException.of(ErrorKind.INTERNAL, Outcome.UNKNOWN, String.valueOf(cause));
	}

}
