package org.limpetgate.host;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.LongAdder;

import com.google.common.flogger.FluentLogger;

/**
 * Writes log events without blocking their source.
 * <p>
 * At most {@value #CAPACITY} events wait; further ones are dropped and counted, since a
 * line costs more than the decision that it reports. Formatting happens on the writer
 * thread. Thread-safe.
 */
public final class EventLog implements AutoCloseable {

	private static final int CAPACITY = 16_384;

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final ArrayBlockingQueue<Entry> entries = new ArrayBlockingQueue<>(CAPACITY);

	private final LongAdder dropped = new LongAdder();

	private final Thread writer = new Thread(this::write, "event-log");

	private volatile boolean closed;

	/**
	 * Creates a log and starts its writer.
	 */
	public EventLog() {
		this.writer.setDaemon(true);
		this.writer.start();
	}

	/**
	 * Writes an event soon, or drops it if too many wait.
	 * @param event the event, not null
	 * @param arguments the arguments of its format; immutable values
	 */
	public void write(LogEvent event, Object... arguments) {
		if (!this.entries.offer(new Entry(event, arguments))) {
			this.dropped.increment();
		}
	}

	/**
	 * Returns how many events were dropped.
	 * @return the number, at least 0
	 */
	public long dropped() {
		return this.dropped.sum();
	}

	private void write() {
		try {
			while (!this.closed || !this.entries.isEmpty()) {
				log(this.entries.take());
			}
		}
		catch (InterruptedException ex) {
			Entry entry = this.entries.poll();
			while (entry != null) {
				log(entry);
				entry = this.entries.poll();
			}
		}
	}

	private void log(Entry entry) {
		logger.atInfo().log("%s %s", entry.event().prefix(), entry.event().format().formatted(entry.arguments()));
	}

	/**
	 * Writes the events that wait and ends the writer.
	 */
	@Override
	public void close() {
		this.closed = true;
		this.writer.interrupt();
		try {
			this.writer.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private record Entry(LogEvent event, Object[] arguments) {
	}

}
