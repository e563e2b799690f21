package org.limpetgate.host;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.LongAdder;

import com.google.common.flogger.FluentLogger;

/**
 * Writes log events without blocking the threads that log them.
 * <p>
 * At most {@value #CAPACITY} events are queued; further ones are dropped and counted,
 * since writing a line costs more than the decision that it reports. Formatting happens
 * on the writer thread, which writes all queued events as one batch. Thread-safe.
 */
public final class EventLog implements AutoCloseable {

	private static final int CAPACITY = 16_384;

	/**
	 * A pipe accepts a write of this size atomically, so that lines of several processes
	 * do not mix.
	 */
	private static final int MAX_WRITE_BYTES = 4096;

	/**
	 * Pause of the writer between batches, since waking it costs more than writing a
	 * line.
	 */
	private static final long BATCH_INTERVAL_MILLIS = 100;

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final ArrayBlockingQueue<Entry> entries = new ArrayBlockingQueue<>(CAPACITY);

	private final LongAdder dropped = new LongAdder();

	private final Sink sink;

	private final Thread writer = new Thread(this::write, "event-log");

	private volatile boolean closed;

	/**
	 * Creates a log that writes to the logger of the process and starts its writer
	 * thread.
	 */
	public EventLog() {
		this((lines) -> lines.forEach((line) -> logger.atInfo().log("%s", line.text())));
	}

	private EventLog(Sink sink) {
		this.sink = sink;
		this.writer.setDaemon(true);
		this.writer.start();
	}

	/**
	 * Creates a log that writes each event to a stream, as a line of time, number, name
	 * and fields.
	 * @param output the stream, not null
	 * @return the log, not null
	 */
	public static EventLog writingTo(OutputStream output) {
		return new EventLog((lines) -> {
			try {
				writeAll(output, lines);
			}
			catch (IOException ex) {
				// The output cannot be written any more; the process continues without
				// it.
			}
		});
	}

	private static void writeAll(OutputStream output, List<Line> lines) throws IOException {
		ByteArrayOutputStream pending = new ByteArrayOutputStream(MAX_WRITE_BYTES);
		for (Line line : lines) {
			byte[] bytes = (Instant.ofEpochMilli(line.epochMillis()) + " " + line.text() + "\n")
				.getBytes(StandardCharsets.UTF_8);
			if (pending.size() + bytes.length > MAX_WRITE_BYTES) {
				flush(pending, output);
			}
			pending.write(bytes);
		}
		flush(pending, output);
	}

	private static void flush(ByteArrayOutputStream pending, OutputStream output) throws IOException {
		if (pending.size() > 0) {
			output.write(pending.toByteArray());
			output.flush();
			pending.reset();
		}
	}

	/**
	 * Queues an event, or drops it if the queue is full.
	 * @param event the event, not null
	 * @param arguments the arguments of its format; immutable values
	 */
	public void write(LogEvent event, Object... arguments) {
		add(new Entry(System.currentTimeMillis(), event.prefix() + ' ', event.format(), arguments));
	}

	/**
	 * Queues a line that is already formatted, or drops it if the queue is full.
	 * @param text the line, not null
	 */
	public void writeLine(String text) {
		add(new Entry(System.currentTimeMillis(), "", text, null));
	}

	private void add(Entry entry) {
		if (!this.entries.offer(entry)) {
			this.dropped.increment();
		}
	}

	/**
	 * Returns the number of dropped events.
	 * @return the number, at least 0
	 */
	public long dropped() {
		return this.dropped.sum();
	}

	private void write() {
		List<Line> batch = new ArrayList<>();
		try {
			while (!this.closed || !this.entries.isEmpty()) {
				batch.add(this.entries.take().toLine());
				writeBatch(batch);
				Thread.sleep(BATCH_INTERVAL_MILLIS);
			}
		}
		catch (InterruptedException ex) {
			writeBatch(batch);
		}
	}

	private void writeBatch(List<Line> batch) {
		Entry entry = this.entries.poll();
		while (entry != null) {
			batch.add(entry.toLine());
			// Bounds the batch when events arrive faster than they are written.
			entry = (batch.size() < CAPACITY) ? this.entries.poll() : null;
		}
		this.sink.write(batch);
		batch.clear();
	}

	/**
	 * Writes the queued events and ends the writer thread.
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

	/** Receives batches of lines on the writer thread. */
	private interface Sink {

		void write(List<Line> lines);

	}

	private record Line(long epochMillis, String text) {
	}

	private record Entry(long epochMillis, String prefix, String format, Object[] arguments) {

		Line toLine() {
			if (this.arguments == null) {
				return new Line(this.epochMillis, this.prefix + this.format);
			}
			StringBuilder text = new StringBuilder(this.prefix);
			int from = 0;
			for (Object argument : this.arguments) {
				int position = this.format.indexOf("%s", from);
				text.append(this.format, from, position).append(argument);
				from = position + 2;
			}
			return new Line(this.epochMillis, text.append(this.format, from, this.format.length()).toString());
		}

	}

}
