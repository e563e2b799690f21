package org.limpetgate.submission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.limpetgate.CallerId;
import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.Outcome;
import org.limpetgate.SubmissionKey;

/**
 * Simulates the submission systems of several hosts in virtual time. The log, the links
 * and the upstreams are fakes that fail at random; a {@link SubmissionChecker} verifies
 * the answers.
 * <p>
 * A step is one event. Runs with the same seed are identical. Claim retention and expiry
 * limit are reduced to 30 s and 20 s, so that retention, expiry and reuse of keys occur
 * often.
 */
public final class SubmissionSimulation {

	/**
	 * A rule to break deliberately, to verify that the checker detects it.
	 */
	enum Mutation {

		NONE, NO_READ_BACK, RETRY_AFTER_SENT, SHORT_HORIZON

	}

	private static final long MS = SimulationLoop.MS;

	private static final long SECOND = SimulationLoop.SECOND;

	private static final int DATA_CENTRES = 3;

	private static final int HOSTS_PER_DATA_CENTRE = 3;

	private static final SubmissionSettings SETTINGS = SubmissionSettings.DEFAULT
		.withClaimTimings(Duration.ofSeconds(30), Duration.ofSeconds(20), Duration.ofSeconds(3))
		.withBounds(Duration.ofSeconds(10), 20_000, 500, 15_000);

	private static final long RETENTION_NANOS = SETTINGS.claimRetentionNanos() + SETTINGS.skewNanos() + 5 * SECOND;

	private final SimulationLoop loop;

	private final SimulatedNetwork network;

	private final SubmissionChecker checker = new SubmissionChecker();

	private final List<DataCentreId> dataCentres = new ArrayList<>();

	private final List<SimulatedClaimLog> logs = new ArrayList<>();

	private final List<HistoryRemoval> historyRemovals = new ArrayList<>();

	private long nextKey;

	private boolean stopped;

	SubmissionSimulation(long seed, Mutation mutation) {
		this.loop = new SimulationLoop(seed);
		this.network = new SimulatedNetwork(this.loop);
		SubmissionRules rules = rules(mutation);
		for (int i = 0; i < DATA_CENTRES; i++) {
			this.dataCentres.add(DataCentreId.of("dc" + i));
			this.logs.add(new SimulatedClaimLog(this.loop, RETENTION_NANOS));
		}
		for (int i = 0; i < DATA_CENTRES * HOSTS_PER_DATA_CENTRE; i++) {
			DataCentres centres = DataCentres.of(this.dataCentres.get(i % DATA_CENTRES), this.dataCentres);
			SimulatedEntryHost host = new SimulatedEntryHost(HostId.of("host" + i), centres,
					this.logs.get(i % DATA_CENTRES), SETTINGS, rules, this.loop, this.network, this.checker);
			this.network.add(host);
			host.boot();
		}
		this.loop.schedule(0, this::startClient);
		this.loop.schedule(0, this::injectFault);
		this.loop.schedule(0, this::reportLiveness);
	}

	private static SubmissionRules rules(Mutation mutation) {
		return new SubmissionRules() {
			@Override
			boolean needsReadBack() {
				return mutation != Mutation.NO_READ_BACK;
			}

			@Override
			boolean isProvenNotRun(Outcome outcome) {
				return super.isProvenNotRun(outcome) || mutation == Mutation.RETRY_AFTER_SENT;
			}

			@Override
			long historyNanos(SubmissionSettings settings) {
				return (mutation == Mutation.SHORT_HORIZON) ? SECOND : super.historyNanos(settings);
			}
		};
	}

	// Runs until a violation or for the given number of steps; returns the number of
	// steps.
	long run(long steps) {
		for (long step = 1; step <= steps; step++) {
			this.loop.step();
			if (this.checker.violation() != null) {
				return step;
			}
		}
		return steps;
	}

	// Stops new clients and faults, and checks that no state remains after all
	// timeouts.
	void drainAndCheckState() {
		this.stopped = true;
		this.network.endPartitions();
		this.logs.forEach((log) -> log.failUntil(0));
		long end = this.loop.now() + SETTINGS.claimRetentionNanos() + SETTINGS.maxExpiryAheadNanos() + 10 * SECOND;
		while (this.loop.now() < end && this.checker.violation() == null) {
			this.loop.step();
		}
		for (SimulatedEntryHost host : this.network.hosts()) {
			if (host.isRunning()) {
				SubmissionCounts counts = host.counts();
				if (counts.jobs() + counts.claims() + counts.forwardedRequests() + counts.openRequests()
						+ counts.resultBytes() + counts.openBytes() + counts.uncollectedJobs() > 0) {
					this.checker.fail("state remains on " + host.incarnation() + ": " + counts);
				}
			}
		}
	}

	String violation() {
		return this.checker.violation();
	}

	String summary() {
		return this.nextKey + " keys, " + this.checker.starts + " task starts, " + this.checker.answers + " answers "
				+ this.checker.answersByKind;
	}

	// Callers

	private void startClient() {
		if (this.stopped) {
			return;
		}
		this.loop.schedule(this.loop.randomBetween(MS, 40 * MS), this::startClient);
		while (!this.historyRemovals.isEmpty() && this.historyRemovals.get(0).atNanos < this.loop.now()) {
			this.checker.removeHistory(this.historyRemovals.remove(0).key);
		}
		CallerId caller = CallerId.of("caller" + this.loop.randomBelow(3));
		SubmissionKey key = newKey(caller);
		long expiryNanos = this.loop.now()
				+ this.loop.randomBetween(3 * SECOND, SETTINGS.maxExpiryAheadNanos() - 2 * SECOND);
		SimulatedClient client = new SimulatedClient(this.loop, this.network, this.checker, caller, key, expiryNanos);
		this.historyRemovals.add(new HistoryRemoval(this.loop.now() + SETTINGS.claimRetentionNanos() + 60 * SECOND,
				KeyHash.of(caller, key)));
		client.send();
	}

	// Returns a ticket or a key of the caller.
	private SubmissionKey newKey(CallerId caller) {
		SimulatedEntryHost issuer = this.network.randomHost();
		boolean ticket = this.loop.chance(0.25) && issuer.isRunning() && issuer.pausedUntil() < this.loop.now();
		SubmissionKey key = ticket ? issuer.issueTicket(caller) : SubmissionKey.of("key" + this.nextKey);
		this.nextKey++;
		return key;
	}

	// Faults

	private void injectFault() {
		if (this.stopped) {
			return;
		}
		this.loop.schedule(this.loop.randomBetween(100 * MS, 5 * SECOND), this::injectFault);
		SimulatedEntryHost host = this.network.randomHost();
		SimulatedClaimLog log = this.loop.randomElement(this.logs);
		switch (this.loop.randomBelow(9)) {
			case 0 -> host.crash();
			case 1 -> {
				host.log().failUntil(this.loop.now() + this.loop.randomBetween(100 * MS, 3 * SECOND));
				host.crash();
			}
			case 2 -> {
				host.log().trim(host.log().endOffset());
				host.crash();
			}
			case 3 -> host.pauseUntil(this.loop.now() + this.loop.randomBetween(100 * MS, 15 * SECOND));
			case 4 -> log.failUntil(this.loop.now() + this.loop.randomBetween(100 * MS, 12 * SECOND));
			case 5 -> log.slowDownUntil(this.loop.now() + this.loop.randomBetween(SECOND, 10 * SECOND));
			case 6 -> log.trim(this.loop.chance(0.2) ? log.endOffset() : log.firstOffset() + this.loop.randomBelow(20));
			case 7 -> this.network.partition(this.loop.randomElement(this.dataCentres).value(),
					this.loop.randomElement(this.dataCentres).value());
			default -> this.network.partition(host.id().value(), this.network.randomHost().id().value());
		}
	}

	private void reportLiveness() {
		this.loop.schedule(500 * MS, this::reportLiveness);
		for (SimulatedClaimLog log : this.logs) {
			log.applyRetention();
		}
		SimulatedEntryHost host = this.network.randomHost();
		for (SimulatedEntryHost peer : this.network.hosts()) {
			// A host with a long pause is falsely reported as dead.
			boolean dead = !peer.isRunning() || peer.pausedUntil() > this.loop.now() + 2 * SECOND;
			if (peer == host || this.network.isPartitioned(host, peer)) {
				continue;
			}
			Incarnation incarnation = peer.incarnation();
			this.loop.schedule(host, this.loop.randomBetween(MS, 50 * MS),
					() -> host.reportLiveness(incarnation, dead));
		}
	}

	/**
	 * Runs each seed until a violation or for the given number of steps.
	 * @param args first seed, number of seeds, steps per seed and mutation; the defaults
	 * are 1, 1, 1000000 and NONE
	 */
	public static void main(String[] args) {
		long first = (args.length > 0) ? Long.parseLong(args[0]) : 1;
		long seeds = (args.length > 1) ? Long.parseLong(args[1]) : 1;
		long steps = (args.length > 2) ? Long.parseLong(args[2]) : 1_000_000;
		Mutation mutation = (args.length > 3) ? Mutation.valueOf(args[3]) : Mutation.NONE;
		int violations = 0;
		for (long seed = first; seed < first + seeds; seed++) {
			SubmissionSimulation simulation = new SubmissionSimulation(seed, mutation);
			long executed = simulation.run(steps);
			if (simulation.violation() == null) {
				simulation.drainAndCheckState();
			}
			System.out.println("seed " + seed + ": " + executed + " steps, " + simulation.summary());
			if (simulation.violation() != null) {
				violations++;
				System.out.println(
						"VIOLATION: " + simulation.violation() + "; repeat with: limpetgate-core/submission-simulation "
								+ seed + " 1 " + steps + " " + mutation);
			}
		}
		if (violations > 0) {
			System.exit(1);
		}
	}

	private record HistoryRemoval(long atNanos, KeyHash key) {
	}

}
