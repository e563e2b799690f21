package org.limpetgate.standin;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.limpetgate.DispatchException;

/**
 * Waits for futures in tests. The time limit only ends a test that would otherwise hang.
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
	 * Returns the error that a listener of the future receives, which must be an
	 * unwrapped {@link DispatchException}.
	 * @param future the future
	 * @return the error, null if there is none
	 */
	static DispatchException error(CompletableFuture<?> future) {
		return (DispatchException) get(future.handle((value, error) -> error));
	}

}
