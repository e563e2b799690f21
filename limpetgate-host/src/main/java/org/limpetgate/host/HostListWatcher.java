package org.limpetgate.host;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

import org.limpetgate.membership.MemberAddress;
import org.limpetgate.platform.HostList;
import org.limpetgate.platform.HostListView;
import org.limpetgate.platform.ListedHost;

/**
 * Reads the platform's host list every 800 ms.
 * <p>
 * While the platform is unreachable, the last list stays in use. Not thread-safe:
 * confined to the control thread.
 */
final class HostListWatcher implements TickedComponent {

	/**
	 * Less than half of the time within which a leaving upstream must be known, so that
	 * one read may fail.
	 */
	private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

	private final HostList list;

	private final Executor control;

	private final LongSupplier clock;

	private final EventLog events;

	private final BiConsumer<HostListView, Long> listener;

	private long nextReadNanos;

	private boolean readInProgress;

	private boolean lastReadFailed;

	HostListWatcher(HostList list, Executor control, LongSupplier clock, EventLog events,
			BiConsumer<HostListView, Long> listener) {
		this.list = list;
		this.control = control;
		this.clock = clock;
		this.events = events;
		this.listener = listener;
	}

	@Override
	public void tick(long nowNanos) {
		if (this.readInProgress || nowNanos < this.nextReadNanos) {
			return;
		}
		this.readInProgress = true;
		this.nextReadNanos = nowNanos + INTERVAL_NANOS;
		this.list.read().whenComplete((view, failure) -> this.control.execute(() -> readCompleted(view, failure)));
	}

	private void readCompleted(HostListView view, Throwable failure) {
		this.readInProgress = false;
		if (failure == null) {
			this.lastReadFailed = false;
			this.listener.accept(view, this.clock.getAsLong());
		}
		else if (!this.lastReadFailed) {
			this.lastReadFailed = true;
			this.events.write(LogEvent.PLATFORM_UNREACHABLE, "host list", failure.getMessage());
		}
	}

	@Override
	public long nextWakeNanos() {
		return this.readInProgress ? Long.MAX_VALUE : this.nextReadNanos;
	}

	/**
	 * Returns the addresses of the hosts of a view, including leaving ones.
	 * @param view the view
	 * @return the addresses
	 */
	static List<MemberAddress> addresses(HostListView view) {
		List<MemberAddress> addresses = new ArrayList<>();
		for (ListedHost host : view.hosts()) {
			addresses.add(new MemberAddress(host.id(), host.dataCentre(), host.address(), host.port()));
		}
		return addresses;
	}

}
