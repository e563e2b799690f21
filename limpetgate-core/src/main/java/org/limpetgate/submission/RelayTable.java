package org.limpetgate.submission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.limpetgate.DataCentreId;
import org.limpetgate.Incarnation;

/**
 * The requests that were passed on to peers and have not been answered.
 * <p>
 * Not thread-safe.
 */
final class RelayTable {

	private final Map<Long, Relay> relays = new HashMap<>();

	private final TreeSet<Relay> byDeadline = new TreeSet<>(
			Comparator.comparingLong(Relay::deadlineNanos).thenComparingLong((relay) -> relay.waiter.request()));

	void add(Relay relay) {
		this.relays.put(relay.waiter.request(), relay);
		this.byDeadline.add(relay);
	}

	// Returns null if the request was not passed on or has been answered.
	Relay remove(long request) {
		Relay relay = this.relays.remove(request);
		if (relay != null) {
			this.byDeadline.remove(relay);
		}
		return relay;
	}

	// Removes a relay whose deadline has come; returns null if there is none.
	Relay removeDue(long nowNanos) {
		return (nextDeadlineNanos() <= nowNanos) ? remove(this.byDeadline.first().waiter.request()) : null;
	}

	List<Relay> removeTo(Predicate<Incarnation> target) {
		List<Relay> found = this.relays.values()
			.stream()
			.filter((relay) -> relay.target != null && target.test(relay.target))
			.toList();
		found.forEach((relay) -> remove(relay.waiter.request()));
		return found;
	}

	long nextDeadlineNanos() {
		return this.byDeadline.isEmpty() ? Long.MAX_VALUE : this.byDeadline.first().deadlineNanos;
	}

	int size() {
		return this.relays.size();
	}

	/**
	 * A request that was passed on.
	 *
	 * @param waiter the request
	 * @param target the incarnation it was passed to, null for any host of the home
	 * @param home the data centre it was passed to, null if an incarnation is named
	 * @param deadlineNanos when an answer is not expected any more
	 */
	record Relay(Waiter waiter, Incarnation target, DataCentreId home, long deadlineNanos) {
	}

}
