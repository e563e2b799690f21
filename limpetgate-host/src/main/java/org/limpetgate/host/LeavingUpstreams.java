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
 * A sign is an answer of the upstream, the platform's host list, or a heartbeat of a
 * peer. Only the host list can take a sign back, and only a list made well after the
 * sign, since the list lags. Not thread-safe: it belongs to the control thread.
 */
final class LeavingUpstreams {

	/**
	 * The host list may show an upstream as live for this long after its own
	 * announcement.
	 */
	private static final long MAX_LIST_LAG_NANOS = TimeUnit.SECONDS.toNanos(30);

	private final Map<UpstreamId, Long> reportedNanos = new HashMap<>();

	/**
	 * Notes a sign that an upstream is leaving.
	 * @param upstream the upstream
	 * @param nowNanos the present time
	 * @return true if it was not known before
	 */
	boolean add(UpstreamId upstream, long nowNanos) {
		return this.reportedNanos.putIfAbsent(upstream, nowNanos) == null;
	}

	/**
	 * Returns the upstreams that the host list shows as live again.
	 * @param view the host list
	 * @param nowNanos the present time
	 * @return the upstreams, which are forgotten here
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
