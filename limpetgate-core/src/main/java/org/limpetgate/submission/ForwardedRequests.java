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
 * The requests that were forwarded to peers and are waiting for a reply.
 * <p>
 * Not thread-safe.
 */
final class ForwardedRequests {

	private final Map<Long, ForwardedRequest> byRequest = new HashMap<>();

	private final TreeSet<ForwardedRequest> byDeadline = new TreeSet<>(
			Comparator.comparingLong(ForwardedRequest::deadlineNanos)
				.thenComparingLong((request) -> request.waiter.request()));

	void add(ForwardedRequest request) {
		this.byRequest.put(request.waiter.request(), request);
		this.byDeadline.add(request);
	}

	// Returns null if the request was not forwarded or has received its reply.
	ForwardedRequest remove(long request) {
		ForwardedRequest removed = this.byRequest.remove(request);
		if (removed != null) {
			this.byDeadline.remove(removed);
		}
		return removed;
	}

	// Removes one request whose deadline has passed; returns null if there is none.
	ForwardedRequest removeDue(long nowNanos) {
		return (nextDeadlineNanos() <= nowNanos) ? remove(this.byDeadline.first().waiter.request()) : null;
	}

	List<ForwardedRequest> removeByTarget(Predicate<Incarnation> target) {
		List<ForwardedRequest> matching = this.byRequest.values()
			.stream()
			.filter((request) -> request.target != null && target.test(request.target))
			.toList();
		matching.forEach((request) -> remove(request.waiter.request()));
		return matching;
	}

	long nextDeadlineNanos() {
		return this.byDeadline.isEmpty() ? Long.MAX_VALUE : this.byDeadline.first().deadlineNanos;
	}

	int size() {
		return this.byRequest.size();
	}

	/**
	 * A request that was forwarded to a peer.
	 *
	 * @param waiter the request
	 * @param target the incarnation it was forwarded to, null for any host of
	 * {@code home}
	 * @param home the data centre it was forwarded to, null if {@code target} is set
	 * @param deadlineNanos when it times out, in nanoseconds since the Unix epoch
	 */
	record ForwardedRequest(Waiter waiter, Incarnation target, DataCentreId home, long deadlineNanos) {
	}

}
