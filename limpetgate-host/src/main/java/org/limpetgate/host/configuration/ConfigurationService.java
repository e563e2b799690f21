package org.limpetgate.host.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.HostId;
import org.limpetgate.Outcome;
import org.limpetgate.config.Configuration;
import org.limpetgate.config.ConfigurationSnapshot;
import org.limpetgate.config.ConfigurationTable;
import org.limpetgate.config.Edit;
import org.limpetgate.config.EditResult;
import org.limpetgate.platform.LogService;

/**
 * Maintains the configuration of one entry host.
 * <p>
 * It tails the stream {@value #STREAM}, accepts newer states from peers when the log does
 * not deliver them, appends edits and writes snapshots. The first configuration comes
 * into force once it is trusted: when the end of the stream has been reached or, while
 * the log does not answer, when a peer has sent its state. From then on the host serves
 * with the newest configuration that it knows, even while it is partitioned or trimmed
 * records are missing. The version in force never decreases.
 * <p>
 * Thread-safe: the state is confined to the control thread, and calls from other threads
 * are passed to it.
 */
public final class ConfigurationService implements AutoCloseable {

	/** The stream of the platform's log that carries the configuration. */
	public static final String STREAM = "config";

	/**
	 * Default age of a snapshot at which the next one is due: a third of the 15 min for
	 * which the log retains records at least.
	 */
	public static final Duration DEFAULT_SNAPSHOT_INTERVAL = Duration.ofMinutes(5);

	/**
	 * Time for which a host must have been missing trimmed records before it allows an
	 * operator to reset the tables: several times the time that a host with the state
	 * needs to write a snapshot.
	 */
	public static final Duration RESET_AFTER = Duration.ofSeconds(30);

	/**
	 * Time without an answer from the log after which a starting host trusts the state of
	 * a peer: long enough for the first heartbeats, so that the newest version is known.
	 */
	static final long LOG_TIMEOUT_NANOS = Duration.ofMillis(1500).toNanos();

	/**
	 * Time without an answer from the log after which a starting host stops waiting for a
	 * peer that has a newer state but does not send it.
	 */
	static final long PEER_STATE_TIMEOUT_NANOS = Duration.ofSeconds(6).toNanos();

	private static final Duration NOT_READY_RETRY = Duration.ofSeconds(1);

	private static final FluentLogger log = FluentLogger.forEnclosingClass();

	private final ControlExecutor control;

	private final ConfigurationTable table = new ConfigurationTable();

	private final LogTail tail;

	private final PeerCatchUp catchUp;

	private final PendingEdits edits;

	private final SnapshotWriter snapshots;

	private final List<Consumer<Configuration>> listeners = new ArrayList<>();

	private final CompletableFuture<Configuration> ready = new CompletableFuture<>();

	private volatile Configuration inForce = Configuration.EMPTY;

	private boolean peerStateAccepted;

	private long refusedPeerStates;

	/**
	 * Creates the service of a host. It does nothing before {@link #start()}.
	 * @param self the host, not null
	 * @param log the platform's log, not null
	 * @param peers the other entry hosts, not null
	 * @param controlThread runs tasks one at a time, not null
	 * @param timer the clock and timer, not null
	 * @param random for jitter and the choice of peers, not null
	 * @param snapshotInterval the age of a snapshot at which the next one is due, not
	 * null
	 */
	public ConfigurationService(HostId self, LogService log, PeerConfigurations peers, Executor controlThread,
			Timer timer, RandomGenerator random, Duration snapshotInterval) {
		Objects.requireNonNull(self, "self");
		this.control = new ControlExecutor(controlThread, timer);
		this.tail = new LogTail(this.control, log, this.table, this::stateChanged);
		this.catchUp = new PeerCatchUp(this.control, peers, this.table, random, this::acceptPeerState);
		this.edits = new PendingEdits(this.control, log, this.table, random);
		this.snapshots = new SnapshotWriter(this.control, self, log, this.table, this.tail, peers,
				snapshotInterval.toNanos());
	}

	/** Starts reading the stream and the versions of the peers. */
	public void start() {
		this.control.execute(() -> {
			this.tail.start();
			this.control.schedulePeriodically(PeerCatchUp.CHECK_PERIOD_NANOS, this::checkPeers);
			this.control.schedulePeriodically(SnapshotWriter.CHECK_PERIOD_NANOS, this::checkSnapshots);
		});
	}

	/** Stops all activity. The futures of pending edits never complete. */
	@Override
	public void close() {
		this.control.stop();
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, {@link Configuration#EMPTY} until {@link #isReady()}
	 */
	public Configuration configuration() {
		return this.inForce;
	}

	/**
	 * Tests whether the configuration in force is trusted.
	 * @return true from the first trusted configuration on
	 */
	public boolean isReady() {
		return this.ready.isDone();
	}

	/**
	 * Returns the future of the first trusted configuration.
	 * @return the future, completed on the control thread
	 */
	public CompletableFuture<Configuration> ready() {
		return this.ready.copy();
	}

	/**
	 * Adds a listener for each new configuration. It is also called with the current one
	 * if that is trusted.
	 * @param listener called on the control thread, not null
	 */
	public void addListener(Consumer<Configuration> listener) {
		Objects.requireNonNull(listener, "listener");
		this.control.execute(() -> {
			this.listeners.add(listener);
			if (isReady()) {
				notify(listener, this.inForce);
			}
		});
	}

	/**
	 * Appends an edit and completes when its result has been read back. If the result of
	 * the edit id is known already, it is returned without an append.
	 * @param edit the edit, not null
	 * @return a future of the result of an accepted edit, or a failure:
	 * {@link ErrorKind#VERSION_CONFLICT} or {@link ErrorKind#INVALID_EDIT} for a rejected
	 * edit, {@link ErrorKind#EDIT_UNKNOWN} if it may still take effect,
	 * {@link ErrorKind#LOG_UNAVAILABLE} or {@link ErrorKind#NOT_READY} if it will not
	 */
	public CompletableFuture<EditResult> edit(Edit edit) {
		Objects.requireNonNull(edit, "edit");
		return onControlThread(() -> submit(edit));
	}

	/**
	 * Replaces the tables of all hosts when neither a host nor a record of the stream
	 * contains the state any more. The reset is refused unless this host has waited for
	 * {@link #RESET_AFTER} for a snapshot or a peer: a host that has the state and can
	 * reach the log writes a snapshot well before that.
	 * @param editId the id by which a repeated request is recognised while its result is
	 * known, not null
	 * @param tables the new tables, not null
	 * @return a future of the result, or a failure as for {@link #edit}
	 */
	public CompletableFuture<EditResult> reset(String editId, Configuration tables) {
		ConfigurationSnapshot reset = ConfigurationSnapshot.reset(editId, tables);
		return onControlThread(() -> reset(editId, reset));
	}

	private CompletableFuture<EditResult> onControlThread(Supplier<CompletableFuture<EditResult>> operation) {
		CompletableFuture<EditResult> resultFuture = new CompletableFuture<>();
		this.control.execute(() -> operation.get().whenComplete((result, failure) -> {
			if (failure != null) {
				resultFuture.completeExceptionally(failure);
			}
			else {
				resultFuture.complete(result);
			}
		}));
		return resultFuture;
	}

	private CompletableFuture<EditResult> reset(String editId, ConfigurationSnapshot reset) {
		boolean alreadySubmitted = this.table.result(editId).isPresent() || this.edits.isPending(editId);
		if (!alreadySubmitted && !this.tail.isInGapFor(RESET_AFTER.toNanos())) {
			return CompletableFuture.failedFuture(DispatchException.of(ErrorKind.INVALID_EDIT, Outcome.NOT_RUN,
					"the tables may be reset only after a host has missed records for " + RESET_AFTER.toSeconds()
							+ " s; edit single rows instead"));
		}
		return this.edits.submit(editId, reset);
	}

	/**
	 * Reads from the table on the control thread.
	 * @param <T> the type of the answer
	 * @param reader reads the table and keeps no reference to it, not null
	 * @return a future of the answer
	 */
	public <T> CompletableFuture<T> read(Function<ConfigurationTable, T> reader) {
		return CompletableFuture.supplyAsync(() -> reader.apply(this.table), this.control);
	}

	/**
	 * Reads the status of the service.
	 * @return a future of the status
	 */
	public CompletableFuture<Status> status() {
		return CompletableFuture.supplyAsync(
				() -> new Status(isReady(), this.inForce.version(), this.tail.isFailingFor(0), this.table.isInGap(),
						this.table.unreadableRecords(), this.table.divergentSnapshots(), this.refusedPeerStates),
				this.control);
	}

	/**
	 * Tests whether an edit is pending at this host.
	 * @param editId the id of the edit, not null
	 * @return whether the edit was appended and is not answered yet
	 */
	public CompletableFuture<Boolean> isPending(String editId) {
		return CompletableFuture.supplyAsync(() -> this.edits.isPending(editId), this.control);
	}

	/**
	 * Returns the state to send to a peer.
	 * @param version the version that the state must exceed
	 * @return a future of the state, empty if it is not newer or not trusted
	 */
	public CompletableFuture<Optional<ConfigurationSnapshot>> snapshotNewerThan(long version) {
		return CompletableFuture.supplyAsync(() -> (isReady() && this.table.version() > version)
				? Optional.of(this.table.toSnapshot()) : Optional.empty(), this.control);
	}

	/**
	 * Accepts a state that a peer sent, if it is newer than the current one.
	 * @param snapshot the state, not null
	 */
	public void offer(ConfigurationSnapshot snapshot) {
		Objects.requireNonNull(snapshot, "snapshot");
		this.control.execute(() -> acceptPeerState(snapshot));
	}

	private CompletableFuture<EditResult> submit(Edit edit) {
		if (!isReady()) {
			return CompletableFuture.failedFuture(DispatchException.withRetryAfter(ErrorKind.NOT_READY, Outcome.NOT_RUN,
					"the configuration is not known yet", NOT_READY_RETRY.toNanos()));
		}
		return this.edits.submit(edit);
	}

	private void acceptPeerState(ConfigurationSnapshot snapshot) {
		boolean sameVersion = snapshot.version() == this.table.version();
		if (!sameVersion && !this.table.restore(snapshot)) {
			this.refusedPeerStates++;
			return;
		}
		this.peerStateAccepted = true;
		stateChanged();
	}

	private void checkPeers() {
		boolean needsConfirmation = !isReady() && this.tail.isFailingFor(0) && !this.peerStateAccepted;
		this.catchUp.fetchIfBehind(this.table.isInGap(), needsConfirmation);
		stateChanged();
	}

	private void checkSnapshots() {
		if (isReady()) {
			this.snapshots.writeIfDue();
		}
	}

	private void stateChanged() {
		if (isReady() || this.tail.isCaughtUp() || isTrustedFromPeers()) {
			publishConfiguration();
		}
		this.edits.completeKnown();
	}

	private boolean isTrustedFromPeers() {
		boolean newest = !this.catchUp.isBehind() || this.tail.isFailingFor(PEER_STATE_TIMEOUT_NANOS);
		return this.peerStateAccepted && newest && this.tail.isFailingFor(LOG_TIMEOUT_NANOS);
	}

	private void publishConfiguration() {
		Configuration newest = this.table.configuration();
		if (newest.version() < this.inForce.version()) {
			throw new IllegalStateException(
					"version would decrease from " + this.inForce.version() + " to " + newest.version());
		}
		boolean first = !isReady();
		if (!first && newest.version() == this.inForce.version()) {
			return;
		}
		this.inForce = newest;
		if (first) {
			this.ready.complete(newest);
		}
		this.listeners.forEach((listener) -> notify(listener, newest));
	}

	private static void notify(Consumer<Configuration> listener, Configuration configuration) {
		try {
			listener.accept(configuration);
		}
		catch (RuntimeException ex) {
			log.atSevere()
				.withCause(ex)
				.log("LG2109 LISTENER_FAILED listener failed on configuration version %d", configuration.version());
		}
	}

	/**
	 * The status of the service.
	 *
	 * @param ready whether a trusted configuration is in force
	 * @param version the version in force
	 * @param logFailing whether the latest read of the stream failed
	 * @param inGap whether trimmed records are missing
	 * @param unreadableRecords the number of records that could not be decoded
	 * @param divergentSnapshots the number of snapshots that contradict the state
	 * @param refusedPeerStates the number of states of peers that were refused because
	 * they were not newer or were malformed
	 */
	public record Status(boolean ready, long version, boolean logFailing, boolean inGap, long unreadableRecords,
			long divergentSnapshots, long refusedPeerStates) {
	}

}
