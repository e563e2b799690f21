package org.limpetgate.host;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.limpetgate.DataCentreId;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.HostId;
import org.limpetgate.Outcome;
import org.limpetgate.PoolName;
import org.limpetgate.dispatch.RemotePoolState;
import org.limpetgate.dispatch.TaskRequest;
import org.limpetgate.host.configuration.ConfigurationService;
import org.limpetgate.host.configuration.PeerConfigurations;
import org.limpetgate.membership.DataCentreDigest;
import org.limpetgate.membership.MemberAddress;
import org.limpetgate.membership.Membership;
import org.limpetgate.net.http.HttpCall;
import org.limpetgate.net.peer.PeerLinks;
import org.limpetgate.proto.PeerFrame;

/**
 * Tracks the state of the other data centres and forwards tasks to them.
 * <p>
 * Round trips are measured every few seconds; no task is forwarded to a data centre
 * before its first measurement. Not thread-safe: confined to the control thread.
 */
final class RemoteDataCentres implements TickedComponent {

	private static final long MEASUREMENT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

	/**
	 * Interval until each data centre has been measured. It is shorter, since a host
	 * cannot forward tasks to a data centre before the first measurement.
	 */
	private static final long FIRST_MEASUREMENT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private final List<DataCentreId> otherDataCentres;

	private final Membership membership;

	private final PeerLinks links;

	private final PeerConfigurations configurations;

	private final ConfigurationService configuration;

	private final Executor control;

	private final LongSupplier clock;

	private final RoundTrips roundTrips = new RoundTrips();

	private long nextMeasurementNanos;

	RemoteDataCentres(List<DataCentreId> otherDataCentres, Membership membership, PeerLinks links,
			PeerConfigurations configurations, ConfigurationService configuration, Executor control,
			LongSupplier clock) {
		this.otherDataCentres = List.copyOf(otherDataCentres);
		this.membership = membership;
		this.links = links;
		this.configurations = configurations;
		this.configuration = configuration;
		this.control = control;
		this.clock = clock;
	}

	/**
	 * Returns the other data centres.
	 * @return the data centres, without that of this host
	 */
	List<DataCentreId> dataCentres() {
		return this.otherDataCentres;
	}

	@Override
	public void tick(long nowNanos) {
		if (nowNanos >= this.nextMeasurementNanos) {
			measureRoundTrips(nowNanos);
		}
	}

	@Override
	public long nextWakeNanos() {
		return this.nextMeasurementNanos;
	}

	private void measureRoundTrips(long nowNanos) {
		boolean allMeasured = this.otherDataCentres.stream()
			.allMatch((other) -> this.roundTrips.nanos(other).isPresent());
		this.nextMeasurementNanos = nowNanos
				+ (allMeasured ? MEASUREMENT_INTERVAL_NANOS : FIRST_MEASUREMENT_INTERVAL_NANOS);
		for (DataCentreId other : this.otherDataCentres) {
			reachableHost(other).ifPresent((host) -> measureRoundTrip(other, host));
		}
	}

	private Optional<HostId> reachableHost(DataCentreId other) {
		return this.membership.contacts(other).stream().map(MemberAddress::host).filter(this.links::isUp).findFirst();
	}

	// A request for the configuration that is answered without one is the smallest round
	// trip that the peers support.
	private void measureRoundTrip(DataCentreId other, HostId host) {
		long sentNanos = this.clock.getAsLong();
		this.configurations.fetch(host, this.configuration.configuration().version())
			.thenAcceptAsync((newerSnapshot) -> {
				this.roundTrips.add(other, this.clock.getAsLong() - sentNanos);
				newerSnapshot.ifPresent(this.configuration::offer);
			}, this.control);
	}

	/**
	 * Returns the state of a pool in another data centre.
	 * @param other the data centre, not null
	 * @param pool the pool, not null
	 * @return the state, or empty if it or the round-trip time is not known
	 */
	Optional<RemotePoolState> remotePool(DataCentreId other, PoolName pool) {
		OptionalLong roundTrip = this.roundTrips.nanos(other);
		Optional<DataCentreDigest> digest = this.membership.digest(other);
		if (roundTrip.isEmpty() || digest.isEmpty() || !digest.get().pools().containsKey(pool)) {
			return Optional.empty();
		}
		DataCentreDigest.PoolState state = digest.get().pools().get(pool);
		return Optional.of(new RemotePoolState(other, pool, roundTrip.getAsLong() / 2, state.waitNanos(),
				state.tasksPerSecond(), this.membership.digestReceivedNanos(other)));
	}

	/**
	 * Forwards a task to a live host of another data centre.
	 * @param target the data centre, not null
	 * @param task the task, not null
	 * @param call the request to send, not null
	 * @param nowNanos the current time
	 * @return a future of the complete answer, or a failure with what is known about the
	 * execution
	 */
	CompletableFuture<SpillService.ForwardedAnswer> forwardTask(DataCentreId target, TaskRequest task, HttpCall call,
			long nowNanos) {
		Optional<HostId> host = reachableHost(target);
		if (host.isEmpty()) {
			return CompletableFuture.failedFuture(DispatchException.of(ErrorKind.HOLDER_UNREACHABLE, Outcome.NOT_RUN,
					"no host of data centre '" + target + "' can be reached"));
		}
		long timeout = Math.max(1, task.deadlineNanos() - nowNanos);
		return this.links
			.request(host.get(), PeerFrame.newBuilder().setForwardTask(TaskMessages.toMessage(task, call)), timeout)
			.thenApply((reply) -> TaskMessages.toAnswer(reply.getTaskReply()));
	}

}
