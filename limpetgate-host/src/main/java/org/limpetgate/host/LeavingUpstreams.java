package org.limpetgate.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.limpetgate.UpstreamId;
import org.limpetgate.platform.HostListView;
import org.limpetgate.platform.ListedUpstream;

/**
 * The upstreams that are known to be leaving.
 * <p>
 * An upstream is reported as leaving by one of its own answers, by the platform's host
 * list or by a heartbeat of a peer. Only the host list can revoke a report, and only a
 * list that was created well after the report, since the list lags behind. Not
 * thread-safe: confined to the control thread.
 */
final class LeavingUpstreams {

	/**
	 * Longest time for which the host list may show an upstream as live after the
	 * upstream announced that it is leaving.
	 */
	private static final long MAX_LIST_LAG_NANOS = TimeUnit.SECONDS.toNanos(30);

	private final Map<UpstreamId, Long> reportedNanos = new HashMap<>();

	/**
	 * Records a report that an upstream is leaving.
	 * @param upstream the upstream
	 * @param nowNanos the current time
	 * @return true if it was not known before
	 */
	boolean add(UpstreamId upstream, long nowNanos) {
		return this.reportedNanos.putIfAbsent(upstream, nowNanos) == null;
	}

	/**
	 * Removes the upstreams that the host list shows as live again.
	 * @param view the host list
	 * @param nowNanos the current time
	 * @return the removed upstreams
	 */
	List<UpstreamId> removeReturned(HostListView view, long nowNanos) {
		long listTimeNanos = nowNanos - view.ageNanos();
		List<UpstreamId> returned = new ArrayList<>();
		for (ListedUpstream listed : view.upstreams()) {
			Long reported = this.reportedNanos.get(listed.id());
			if (reported != null && !listed.leaving() && listTimeNanos - reported > MAX_LIST_LAG_NANOS) {
				this.reportedNanos.remove(listed.id());
				returned.add(listed.id());
			}
		}
		return returned;
	}

	/**
	 * Returns all upstreams that are leaving.
	 * @return the upstreams
	 */
	List<UpstreamId> all() {
		return List.copyOf(this.reportedNanos.keySet());
	}

}
