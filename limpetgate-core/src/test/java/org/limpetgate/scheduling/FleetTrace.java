package org.limpetgate.scheduling;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.limpetgate.JobId;

/**
 * Records the recent events of {@link FleetSimulation}, to explain a violation. Not
 * thread-safe.
 */
final class FleetTrace {

	/** How far back the events of a violation are kept. */
	private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(20);

	private final VirtualTime time;

	private final long startNanos;

	private final Deque<Entry> entries = new ArrayDeque<>();

	FleetTrace(VirtualTime time) {
		this.time = time;
		this.startNanos = time.nowNanos();
	}

	Writer writer(String source) {
		return new Writer(source);
	}

	// Returns the recent events of a job, and those that concern no job; null selects the
	// events of all jobs.
	List<String> events(JobId job) {
		return this.entries.stream()
			.filter((entry) -> job == null || entry.job() == null || entry.job().equals(job))
			.map((entry) -> String.format("%9.3f s %-4s %s", (entry.atNanos() - this.startNanos) / 1e9, entry.source(),
					entry.text()))
			.toList();
	}

	private void add(String source, JobId job, String text) {
		long now = this.time.nowNanos();
		this.entries.add(new Entry(now, source, job, text));
		while (now - this.entries.peek().atNanos() > RETENTION_NANOS) {
			this.entries.remove();
		}
	}

	/** Records the events of one source, such as a host. */
	final class Writer {

		private final String source;

		Writer(String source) {
			this.source = source;
		}

		void event(String text) {
			add(this.source, null, text);
		}

		void job(JobId job, String text) {
			add(this.source, job, text);
		}

	}

	private record Entry(long atNanos, String source, JobId job, String text) {

	}

}
