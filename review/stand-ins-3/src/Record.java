import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: what was sent, answered and run, with the time since the start in milliseconds. */
final class Record {

	private final long startNanos = System.nanoTime();

	private final PrintWriter out;

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file), true);
	}

	synchronized void write(String format, Object... arguments) {
		this.out.printf(Locale.ROOT, "%7d  %s%n", millis(), String.format(Locale.ROOT, format, arguments));
	}

	long millis() {
		return (System.nanoTime() - this.startNanos) / 1_000_000;
	}

}
