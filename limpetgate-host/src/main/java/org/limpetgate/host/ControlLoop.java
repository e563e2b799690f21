package org.limpetgate.host;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.google.common.flogger.FluentLogger;

/**
 * The control thread: the only thread that accesses the state of the core library.
 * <p>
 * It sleeps until a message arrives or the earliest wake time of a component is reached,
 * runs all queued messages as one batch and then ticks every component once. There is no
 * fixed interval, so ticks do not delay a message that arrives alone.
 * <p>
 * {@link #execute} is thread-safe; components must be added before {@link #start}.
 */
public final class ControlLoop implements Executor, AutoCloseable {

	/** Limits the time by which a batch delays the ticks. */
	private static final int MAX_BATCH_MESSAGES = 1024;

	private static final long MAX_SLEEP_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final LinkedBlockingQueue<Runnable> messages = new LinkedBlockingQueue<>();

	private final List<TickedComponent> components = new ArrayList<>();

	private final LongSupplier clock;

	private final Thread thread;

	private volatile boolean closed;

	/**
	 * Creates a loop that has not been started.
	 * @param name the name of the thread, not null
	 * @param clock returns the current time in nanoseconds since the Unix epoch, not null
	 */
	public ControlLoop(String name, LongSupplier clock) {
		this.clock = clock;
		this.thread = new Thread(this::run, name);
		this.thread.setDaemon(true);
	}

	/**
	 * Adds a component that is ticked after each batch.
	 * @param component the component, not null
	 */
	public void add(TickedComponent component) {
		this.components.add(component);
	}

	/**
	 * Starts the thread.
	 */
	public void start() {
		this.thread.start();
	}

	/**
	 * Queues a message to run on the control thread.
	 * @param message the message, not null
	 */
	@Override
	public void execute(Runnable message) {
		this.messages.add(message);
	}

	/**
	 * Returns the number of queued messages.
	 * @return the number, at least 0
	 */
	public int waitingMessages() {
		return this.messages.size();
	}

	private void run() {
		List<Runnable> batch = new ArrayList<>(MAX_BATCH_MESSAGES);
		while (!this.closed) {
			try {
				awaitBatch(batch);
				batch.forEach(this::runSafely);
				batch.clear();
				tickAll();
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private void awaitBatch(List<Runnable> batch) throws InterruptedException {
		long sleep = Math.min(nextWake() - this.clock.getAsLong(), MAX_SLEEP_NANOS);
		Runnable first = (sleep > 0) ? this.messages.poll(sleep, TimeUnit.NANOSECONDS) : this.messages.poll();
		if (first != null) {
			batch.add(first);
			this.messages.drainTo(batch, MAX_BATCH_MESSAGES - 1);
		}
	}

	private long nextWake() {
		long wake = Long.MAX_VALUE;
		for (TickedComponent component : this.components) {
			wake = Math.min(wake, component.nextWakeNanos());
		}
		return wake;
	}

	private void tickAll() {
		long now = this.clock.getAsLong();
		for (TickedComponent component : this.components) {
			runSafely(() -> component.tick(now));
		}
	}

	// An exception in one message must not end the thread that runs all others.
	private void runSafely(Runnable message) {
		try {
			message.run();
		}
		catch (RuntimeException ex) {
			logger.atSevere().withCause(ex).log("%s", LogEvent.INTERNAL_FAULT.prefix());
		}
	}

	@Override
	public void close() {
		this.closed = true;
		this.thread.interrupt();
	}

}
