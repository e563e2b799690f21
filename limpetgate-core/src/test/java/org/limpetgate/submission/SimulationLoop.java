package org.limpetgate.submission;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * The virtual time and the random choices of a {@link SubmissionSimulation}.
 * <p>
 * Events run in the order of their times, and events of the same time in the order in
 * which they were scheduled. An event of a host is dropped if the host has crashed since,
 * and delayed while the host is paused. All choices come from one seed. Not thread-safe.
 */
final class SimulationLoop {

	static final long MS = 1_000_000;

	static final long SECOND = 1000 * MS;

	private final Random random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));

	private long now = 1_700_000_000L * SECOND;

	private long sequence;

	SimulationLoop(long seed) {
		this.random = new Random(seed);
	}

	long now() {
		return this.now;
	}

	// Returns the number of events scheduled so far.
	long sequence() {
		return this.sequence;
	}

	boolean chance(double probability) {
		return this.random.nextDouble() < probability;
	}

	int randomBelow(int bound) {
		return this.random.nextInt(bound);
	}

	long randomBetween(long from, long to) {
		return from + (long) (this.random.nextDouble() * (to - from));
	}

	<T> T randomElement(List<T> list) {
		return list.get(this.random.nextInt(list.size()));
	}

	// Schedules an event outside the hosts.
	void schedule(long delay, Runnable action) {
		this.events.add(new Event(this.now + delay, this.sequence++, null, 0, action));
	}

	// Schedules an event of a host, which ends with a tick of its system.
	void schedule(SimulatedEntryHost host, long delay, Runnable action) {
		this.events.add(new Event(this.now + delay, this.sequence++, host, host.bootCount(), action));
	}

	// Runs the next event.
	void step() {
		Event event = this.events.poll();
		this.now = Math.max(this.now, event.atNanos);
		SimulatedEntryHost host = event.host;
		if (host == null) {
			event.action.run();
		}
		else if (host.isRunning() && event.bootCount == host.bootCount()) {
			if (host.pausedUntil() > this.now) {
				this.events.add(new Event(host.pausedUntil(), this.sequence++, host, event.bootCount, event.action));
			}
			else {
				event.action.run();
				host.tick();
			}
		}
	}

	private record Event(long atNanos, long sequence, SimulatedEntryHost host, int bootCount, Runnable action) {
	}

}
