package org.limpetgate.fleet;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Keeps the newest record of each key of the stored jobs. It has one writer at a time:
 * the one with the highest epoch.
 * <p>
 * Futures complete on the thread of the event loop. They fail with
 * {@link FencedException} if a higher epoch is known, with {@link SequenceException} if
 * an append does not follow the last one, and otherwise if it is unknown what happened.
 */
public interface JobLog {

	/**
	 * Excludes all writers with lower epochs.
	 * @param epoch the epoch, higher than those of earlier writers
	 * @return completes when no lower epoch is accepted any more, not null
	 */
	CompletableFuture<Void> fence(long epoch);

	/**
	 * Reads the newest record of each key.
	 * @return the values by key, not null
	 */
	CompletableFuture<Map<String, byte[]>> newest();

	/**
	 * Appends records, all or none. An append with the number of one of the last few
	 * appends is taken for that one and changes nothing.
	 * @param epoch the epoch of the writer
	 * @param sequence the number of the append, rising by one in an epoch
	 * @param records the records, not empty
	 * @return completes when the records are kept, not null
	 */
	CompletableFuture<Void> append(long epoch, long sequence, List<Entry> records);

	/**
	 * A record.
	 *
	 * @param key the key
	 * @param value the value, empty to drop the key
	 */
	record Entry(String key, byte[] value) {

	}

	/** Another writer has a higher epoch. */
	final class FencedException extends RuntimeException {

		private static final long serialVersionUID = 1L;

		/**
		 * Creates the exception.
		 * @param epoch the epoch that is too low
		 */
		public FencedException(long epoch) {
			super("epoch " + epoch + " is fenced; another host keeps the stored jobs");
		}

	}

	/** An append does not follow the last one. */
	final class SequenceException extends RuntimeException {

		private static final long serialVersionUID = 1L;

		private final long expected;

		/**
		 * Creates the exception.
		 * @param expected the number that the next append must have
		 */
		public SequenceException(long expected) {
			super("the next append must have number " + expected);
			this.expected = expected;
		}

		/**
		 * Returns the number that the next append must have.
		 * @return the number
		 */
		public long expected() {
			return this.expected;
		}

	}

}
