package org.limpetgate.fleet;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * The log of the stored jobs, which keeps the newest record of each key. It has one
 * writer at a time: the one with the highest epoch.
 * <p>
 * Futures complete on the thread of the event loop. They fail with
 * {@link FencedException} if another writer has a higher epoch, with
 * {@link SequenceException} if an append does not follow the last one, and with another
 * exception if the result is unknown.
 */
public interface JobLog {

	/**
	 * Fences off all writers with lower epochs.
	 * @param epoch the epoch, higher than those of earlier writers
	 * @return completes once no lower epoch is accepted any more, not null
	 */
	CompletableFuture<Void> fence(long epoch);

	/**
	 * Reads the newest record of each key.
	 * @return the values by key, not null
	 */
	CompletableFuture<Map<String, byte[]>> readNewest();

	/**
	 * Appends records atomically. An append with the sequence number of one of the last
	 * few appends counts as its repetition and has no effect.
	 * @param epoch the epoch of the writer
	 * @param sequence the sequence number of the append, increasing by one within an
	 * epoch
	 * @param records the records, not empty
	 * @return completes once the records are stored, not null
	 */
	CompletableFuture<Void> append(long epoch, long sequence, List<Entry> records);

	/**
	 * A record.
	 *
	 * @param key the key
	 * @param value the value, empty to delete the key
	 */
	record Entry(String key, byte[] value) {

	}

	/** Thrown if another writer has a higher epoch. */
	final class FencedException extends RuntimeException {

		private static final long serialVersionUID = 1L;

		/**
		 * Creates the exception.
		 * @param epoch the rejected epoch
		 */
		public FencedException(long epoch) {
			super("epoch " + epoch + " is fenced; a writer with a higher epoch owns the log of stored jobs");
		}

	}

	/**
	 * Thrown if the sequence number of an append does not follow that of the last one.
	 */
	final class SequenceException extends RuntimeException {

		private static final long serialVersionUID = 1L;

		private final long expected;

		/**
		 * Creates the exception.
		 * @param expected the sequence number that the next append must have
		 */
		public SequenceException(long expected) {
			super("the next append must have sequence number " + expected);
			this.expected = expected;
		}

		/**
		 * Returns the sequence number that the next append must have.
		 * @return the sequence number
		 */
		public long expected() {
			return this.expected;
		}

	}

}
