package org.limpetgate.standin;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.limpetgate.DispatchException;

/**
 * Waiting for futures in tests. The limit only ends a test that would hang.
 */
final class Futures {

	private static final long LIMIT_SECONDS = 30;

	private Futures() {
	}

	static <T> T get(CompletableFuture<T> future) {
		try {
			return future.get(LIMIT_SECONDS, TimeUnit.SECONDS);
		}
		catch (ExecutionException | InterruptedException | TimeoutException ex) {
			throw new AssertionError("no value: " + ex, ex);
		}
	}

	/**
	 * Returns the error of a future, which must be an unwrapped {@link DispatchException}
	 * for a listener too.
	 * @param future the future
	 * @return the error, null if there is none
	 */
	static DispatchException error(CompletableFuture<?> future) {
		return (DispatchException) get(future.handle((value, error) -> error));
	}

}
