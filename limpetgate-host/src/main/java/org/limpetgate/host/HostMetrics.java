package org.limpetgate.host;

import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.limpetgate.Outcome;
import org.limpetgate.PoolName;
import org.limpetgate.scheduling.JobOutcome;
import org.limpetgate.scheduling.SchedulingEffect;

/**
 * The metrics of one entry host.
 * <p>
 * Labels have a bounded number of values: pools, queues, outcomes and states, never
 * callers or tasks. Thread-safe.
 */
public final class HostMetrics {

	private static final Duration[] JOB_TIME_BUCKETS = { Duration.ofMillis(50), Duration.ofMillis(100),
			Duration.ofMillis(200), Duration.ofMillis(400), Duration.ofMillis(800), Duration.ofMillis(1600),
			Duration.ofMillis(3200), Duration.ofMillis(6400) };

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	/**
	 * Records the duration and outcome of a task that ended.
	 * @param pool the pool, not null
	 * @param outcome the outcome, not null
	 * @param nanos the time from acceptance to the end, in nanoseconds
	 */
	public void taskEnded(PoolName pool, Outcome outcome, long nanos) {
		Timer.builder("limpetgate.task.time")
			.description("Time from acceptance to the end of a task")
			.tag("pool", pool.value())
			.tag("outcome", outcome.text())
			.publishPercentileHistogram()
			.register(this.registry)
			.record(nanos, TimeUnit.NANOSECONDS);
	}

	/**
	 * Records the duration and outcome of a job that was answered.
	 * @param outcome how it ended, not null
	 * @param nanos the time from its arrival to the answer, in nanoseconds
	 */
	public void jobEnded(JobOutcome outcome, long nanos) {
		Timer.builder("limpetgate.job.time")
			.description("Time from the arrival of a job to its answer")
			.tag("outcome", outcome.name().toLowerCase(Locale.ROOT))
			.serviceLevelObjectives(JOB_TIME_BUCKETS)
			.register(this.registry)
			.record(nanos, TimeUnit.NANOSECONDS);
	}

	/**
	 * Counts a job that the scheduler refused because capacity is short.
	 * @param queue its queue, which is one of the configuration, not null
	 * @param reason why it was refused, not null
	 */
	public void jobRefused(String queue, SchedulingEffect.JobRefused.Reason reason) {
		Counter.builder("limpetgate.jobs.refused")
			.description("Jobs that the scheduler refused because capacity is short")
			.tag("queue", queue)
			.tag("reason", reason.name().toLowerCase(Locale.ROOT))
			.register(this.registry)
			.increment();
	}

	/**
	 * Counts an attempt that was started at an upstream.
	 * @param pool the pool, not null
	 */
	public void attemptStarted(PoolName pool) {
		counter("limpetgate.attempts", "Attempts started at upstreams", pool.value()).increment();
	}

	/**
	 * Counts a refused task.
	 * @param pool the pool, not null
	 */
	public void taskRefused(PoolName pool) {
		counter("limpetgate.refused", "Tasks refused before their start", pool.value()).increment();
	}

	/** Counts a message of another host that was refused because it was delayed. */
	public void staleMessageRefused() {
		Counter.builder("limpetgate.messages.stale")
			.description("Messages of other hosts refused because their senders may have given them up")
			.register(this.registry)
			.increment();
	}

	/** Counts a withdrawal of a job that was lost together with the link. */
	public void withdrawalNotSent() {
		Counter.builder("limpetgate.withdrawals.unsent")
			.description("Withdrawals of jobs that were lost together with the link to the scheduler")
			.register(this.registry)
			.increment();
	}

	/**
	 * Counts jobs that were ended because nothing was received from their host.
	 * @param jobs the number of jobs
	 */
	public void submissionLeaseExpired(int jobs) {
		Counter.builder("limpetgate.leases.expired.jobs")
			.description("Jobs of other hosts ended because nothing was received from their hosts")
			.register(this.registry)
			.increment(jobs);
	}

	private Counter counter(String name, String description, String pool) {
		return Counter.builder(name).description(description).tag("pool", pool).register(this.registry);
	}

	/**
	 * Registers a gauge whose value is read at each scrape.
	 * @param name the name, not null
	 * @param description what it measures, with its unit, not null
	 * @param value returns the value; thread-safe, not null
	 */
	public void gauge(String name, String description, Supplier<Number> value) {
		Gauge.builder(name, value).description(description).register(this.registry);
	}

	/**
	 * Returns all metrics in the Prometheus text format.
	 * @return the text, not null
	 */
	public String scrape() {
		return this.registry.scrape();
	}

}
