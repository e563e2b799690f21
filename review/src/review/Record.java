package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a trial: one line for each thing that was sent, answered or run. Thread-safe. */
final class Record implements AutoCloseable {

	private final long startNanos = System.nanoTime();

	private final PrintWriter out;

	Record(Path file) {
		try {
			this.out = new PrintWriter(Files.newBufferedWriter(file));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/** Milliseconds since the start of the trial, on the steady clock. */
	long millis() {
		return (System.nanoTime() - this.startNanos) / 1_000_000;
	}

	synchronized void add(String format, Object... values) {
		this.out.printf("%7d %s%n", millis(), String.format(format, values));
	}

	synchronized void say(String format, Object... values) {
		add(format, values);
		this.out.flush();
		System.out.println(String.format(format, values));
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
