package org.limpetgate.host.fleet;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.limpetgate.fleet.WorkerOrders;
import org.limpetgate.host.EventLog;
import org.limpetgate.host.LogEvent;
import org.limpetgate.scheduling.CrashHistory;
import org.limpetgate.scheduling.Scheduler;
import org.limpetgate.scheduling.SchedulingEffect;
import org.limpetgate.scheduling.WorkerInfo;

/**
 * Executes the effects that the scheduler requests and reports their results back to it.
 * <p>
 * Not thread-safe; used on the event loop.
 */
final class EffectExecutor {

	private final Scheduler scheduler;

	private final WorkerOrders orders;

	private final StoredJobService storedJobs;

	private final Consumer<SchedulingEffect.JobEnded> jobEndHandler;

	private final JobEvents jobEvents;

	private final LongSupplier clock;

	private final EventLog log;

	/** Requests a tick, in which the scheduler processes the reported results. */
	private final Runnable requestTick;

	EffectExecutor(Scheduler scheduler, WorkerOrders orders, StoredJobService storedJobs,
			Consumer<SchedulingEffect.JobEnded> jobEndHandler, JobEvents jobEvents, LongSupplier clock, EventLog log,
			Runnable requestTick) {
		this.scheduler = scheduler;
		this.orders = orders;
		this.storedJobs = storedJobs;
		this.jobEndHandler = jobEndHandler;
		this.jobEvents = jobEvents;
		this.clock = clock;
		this.log = log;
		this.requestTick = requestTick;
	}

	void execute(SchedulingEffect effect) {
		if (effect instanceof SchedulingEffect.StartRun start) {
			start(start);
		}
		else if (effect instanceof SchedulingEffect.StopRun stop) {
			stop(stop);
		}
		else if (effect instanceof SchedulingEffect.PollWorker poll) {
			this.orders.poll(poll).thenAccept((answer) -> handlePollAnswer(poll, answer));
		}
		else if (effect instanceof SchedulingEffect.SaveChange change) {
			this.storedJobs.save(change);
		}
		else if (effect instanceof SchedulingEffect.JobEnded ended) {
			this.jobEndHandler.accept(ended);
		}
		else if (effect instanceof SchedulingEffect.JobRefused refused) {
			this.jobEvents.refused(refused);
		}
		else if (effect instanceof SchedulingEffect.RunGivenUp givenUp) {
			logGivenUp(givenUp);
		}
		else if (effect instanceof SchedulingEffect.WorkerCrashed crashed) {
			logCrash(crashed);
		}
		else if (effect instanceof SchedulingEffect.EntryRefuted refuted) {
			WorkerInfo entry = refuted.entry();
			this.log.write(LogEvent.WORKER_ENTRY_REFUTED, refuted.worker().id(), refuted.worker().incarnationMillis(),
					entry.id(), entry.incarnationMillis(), entry.service(), entry.address());
		}
		else if (effect instanceof SchedulingEffect.HandoverSettled settled) {
			this.log.write(LogEvent.HANDOVER_SETTLED, settled.job(), settled.proof(),
					TimeUnit.NANOSECONDS.toMillis(settled.waitedNanos()), settled.workers(),
					TimeUnit.NANOSECONDS.toMillis(settled.listAgeNanos()));
		}
		else if (effect instanceof SchedulingEffect.DataCentreSilent silence) {
			logSilence(silence);
		}
		else if (effect instanceof SchedulingEffect.RunPreempted preempted) {
			logPreempted(preempted);
		}
		else if (effect instanceof SchedulingEffect.RunMoved moved) {
			logMove(moved);
		}
		else if (effect instanceof SchedulingEffect.WorkerSpeedChanged changed) {
			this.log.write(LogEvent.WORKER_SPEED_CHANGED, changed.worker(), changed.slow(),
					String.format(Locale.ROOT, "%.2f", changed.factorBefore()),
					String.format(Locale.ROOT, "%.2f", changed.factor()));
		}
	}

	private void logSilence(SchedulingEffect.DataCentreSilent silence) {
		long sinceAnswerMillis = TimeUnit.NANOSECONDS.toMillis(silence.sinceAnswerNanos());
		if (silence.silent()) {
			this.log.write(LogEvent.DATA_CENTRE_SILENT, silence.dataCentre(), sinceAnswerMillis, silence.workers());
		}
		else {
			this.log.write(LogEvent.DATA_CENTRE_ANSWERS, silence.dataCentre(), sinceAnswerMillis);
		}
	}

	private void logGivenUp(SchedulingEffect.RunGivenUp givenUp) {
		long sinceRenewalNanos = givenUp.sinceRenewalNanos();
		long sinceRenewalMillis = (sinceRenewalNanos < 0) ? -1 : TimeUnit.NANOSECONDS.toMillis(sinceRenewalNanos);
		this.log.write(LogEvent.RUN_GIVEN_UP, givenUp.run(), givenUp.worker().id(), givenUp.reason(),
				givenUp.confirmed(), sinceRenewalMillis, givenUp.fenced());
	}

	private void logCrash(SchedulingEffect.WorkerCrashed crashed) {
		CrashHistory history = crashed.history();
		this.log.write(LogEvent.WORKER_CRASHED, crashed.task(), crashed.worker(), history.crashes(),
				history.crashedAlone(), history.unconfirmedCrashes(), history.losses().size());
	}

	private void logPreempted(SchedulingEffect.RunPreempted preempted) {
		this.log.write(LogEvent.RUN_PREEMPTED, preempted.run(), preempted.worker().id(), preempted.urgentJob(),
				decimal(preempted.lostCoreSeconds()), decimal(preempted.savedCost()), decimal(preempted.cost()));
	}

	private static String decimal(double value) {
		return String.format(Locale.ROOT, "%.3f", value);
	}

	private void logMove(SchedulingEffect.RunMoved moved) {
		this.log.write(LogEvent.RUN_MOVED, moved.run(), moved.worker(), moved.target(), moved.reason(),
				TimeUnit.NANOSECONDS.toMillis(moved.endHereNanos()),
				TimeUnit.NANOSECONDS.toMillis(moved.endThereNanos()),
				TimeUnit.NANOSECONDS.toMillis(moved.usefulNanos()), moved.percent(),
				TimeUnit.NANOSECONDS.toMillis(moved.lostCoreNanos()));
	}

	private void start(SchedulingEffect.StartRun start) {
		this.log.write(LogEvent.RUN_ORDERED, start.run(), start.worker().id(), start.token().value());
		this.orders.start(start).thenAccept((answer) -> {
			this.scheduler.startAnswered(start, answer, this.clock.getAsLong());
			this.requestTick.run();
		});
	}

	private void stop(SchedulingEffect.StopRun stop) {
		this.log.write(LogEvent.STOP_ORDERED, stop.run(), stop.worker().id(), stop.reason());
		this.orders.stop(stop).thenAccept((confirmed) -> {
			this.scheduler.stopAnswered(stop.worker().id(), stop.run(), confirmed, this.clock.getAsLong());
			this.requestTick.run();
		});
	}

	private void handlePollAnswer(SchedulingEffect.PollWorker poll, WorkerOrders.PollAnswer answer) {
		long now = this.clock.getAsLong();
		if (answer.report() != null) {
			this.scheduler.reported(poll.worker().id(), poll.sequence(), poll.token(), answer.report(), now);
		}
		else {
			this.log.write(LogEvent.WORKER_SILENT, poll.worker().id(), answer.failure());
			this.scheduler.pollFailed(poll.worker().id(), poll.sequence(), poll.token(), answer.failure(), now);
		}
		this.requestTick.run();
	}

}
