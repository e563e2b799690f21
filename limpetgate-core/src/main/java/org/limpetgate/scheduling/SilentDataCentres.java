package org.limpetgate.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.limpetgate.DataCentreId;
import org.limpetgate.scheduling.SchedulingEffect.DataCentreSilent;

/**
 * Detects data centres whose workers have all stopped answering, and keeps new runs away
 * from them.
 * <p>
 * Suits a network partition under load: single workers are found silent one by one, when
 * their orders time out, and until then every job with several tasks places some of them
 * on workers that cannot be reached. A data centre counts as silent when several of its
 * workers owe an answer and none has answered for a while in which another data centre
 * did. One answer ends it, so a few of its workers are polled at intervals. If this host
 * itself stalls, all data centres are silent alike and none is suspected.
 * <p>
 * Not thread-safe.
 */
final class SilentDataCentres {

	/** Exceeds the time in which a loaded worker of another data centre answers. */
	static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

	/** Fewer workers may be silent for reasons of their own. */
	static final int MIN_SILENT_WORKERS = 3;

	private static final long PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/** The number of workers that are polled at a time. */
	private static final int PROBED_WORKERS = 3;

	private static final long SCAN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

	private final SchedulerTables tables;

	private final Map<DataCentreId, Answers> answers = new HashMap<>();

	private long lastScanNanos;

	/** The newest answer of any worker, nanoseconds since the Unix epoch. */
	private long newestAnswerNanos;

	SilentDataCentres(SchedulerTables tables) {
		this.tables = tables;
	}

	// Records that a worker has answered an order or a poll.
	void answered(WorkerEntity worker, long nowNanos) {
		Answers dataCentre = answersOf(worker);
		if (dataCentre.silent) {
			setSilent(worker.info.dataCentre(), dataCentre, false, nowNanos);
		}
		dataCentre.lastNanos = nowNanos;
		this.newestAnswerNanos = nowNanos;
	}

	void clear() {
		this.answers.clear();
		this.tables.workers.values().forEach((worker) -> worker.dataCentreSilent = false);
	}

	void tick(long nowNanos) {
		if (nowNanos - this.lastScanNanos < SCAN_INTERVAL_NANOS) {
			return;
		}
		this.lastScanNanos = nowNanos;
		this.answers.values().forEach((dataCentre) -> dataCentre.silentWorkers = 0);
		for (WorkerEntity worker : this.tables.workers.values()) {
			Answers dataCentre = answersOf(worker);
			worker.dataCentreSilent = dataCentre.silent;
			if (owesAnswer(worker, dataCentre.lastNanos, nowNanos)) {
				dataCentre.silentWorkers++;
			}
		}
		this.answers.forEach((id, dataCentre) -> update(id, dataCentre, nowNanos));
	}

	private Answers answersOf(WorkerEntity worker) {
		return this.answers.computeIfAbsent(worker.info.dataCentre(), (id) -> new Answers());
	}

	// Tests whether an order that was sent at about the time of the last answer, or
	// later,
	// is overdue. Workers that hang owe older answers, which tell nothing of the others.
	private static boolean owesAnswer(WorkerEntity worker, long lastAnswerNanos, long nowNanos) {
		for (RunEntity run : worker.runs.values()) {
			boolean ordered = run.state == RunEntity.State.STARTING || run.state == RunEntity.State.STOPPING;
			if (ordered && nowNanos - run.stateSinceNanos > SILENCE_NANOS
					&& run.stateSinceNanos > lastAnswerNanos - SILENCE_NANOS) {
				return true;
			}
		}
		return false;
	}

	private void update(DataCentreId id, Answers dataCentre, long nowNanos) {
		boolean othersAnswered = this.newestAnswerNanos - dataCentre.lastNanos > SILENCE_NANOS;
		if (!dataCentre.silent && othersAnswered && dataCentre.silentWorkers >= MIN_SILENT_WORKERS) {
			setSilent(id, dataCentre, true, nowNanos);
		}
		if (dataCentre.silent && nowNanos - dataCentre.probedNanos >= PROBE_INTERVAL_NANOS) {
			dataCentre.probedNanos = nowNanos;
			probe(id, nowNanos);
		}
	}

	// Polls some workers. Those with failed polls are polled again anyway.
	private void probe(DataCentreId id, long nowNanos) {
		this.tables.workers.values()
			.stream()
			.filter((worker) -> worker.info.dataCentre().equals(id) && worker.pollFailures == 0)
			.limit(PROBED_WORKERS)
			.forEach((worker) -> {
				worker.verifySinceNanos = nowNanos;
				this.tables.changedWorkers.add(worker);
			});
	}

	private void setSilent(DataCentreId id, Answers dataCentre, boolean silent, long nowNanos) {
		dataCentre.silent = silent;
		for (WorkerEntity worker : this.tables.workers.values()) {
			if (worker.info.dataCentre().equals(id)) {
				worker.dataCentreSilent = silent;
			}
		}
		this.tables.placementDue = true;
		this.tables.emit(new DataCentreSilent(id, silent, nowNanos - dataCentre.lastNanos, dataCentre.silentWorkers));
	}

	/** What is known of the answers of the workers of one data centre. */
	private static final class Answers {

		/** When the last one arrived, nanoseconds since the Unix epoch. */
		private long lastNanos;

		/** When its workers were last polled, nanoseconds since the Unix epoch. */
		private long probedNanos;

		/** The number of workers with an overdue answer, as of the last scan. */
		private int silentWorkers;

		private boolean silent;

	}

}
