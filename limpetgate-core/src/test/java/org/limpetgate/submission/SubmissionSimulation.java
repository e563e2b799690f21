package org.limpetgate.submission;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;

import org.limpetgate.CallerId;
import org.limpetgate.DataCentreId;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
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

	private static final long MS = 1_000_000;

	private static final long SECOND = 1000 * MS;

	private static final int DATA_CENTRES = 3;

	private static final int HOSTS_PER_DATA_CENTRE = 3;

	private static final SubmissionSettings SETTINGS = SubmissionSettings.DEFAULT
		.withClaimTimings(Duration.ofSeconds(30), Duration.ofSeconds(20), Duration.ofSeconds(3))
		.withBounds(Duration.ofSeconds(10), 20_000, 500, 15_000);

	private static final long RETENTION_NANOS = SETTINGS.claimRetentionNanos() + SETTINGS.skewNanos() + 5 * SECOND;

	private static final byte[] SECRET = "sixteen bytes or more".getBytes(StandardCharsets.US_ASCII);

	private static final DispatchException IMPOSSIBLE = DispatchException.of(ErrorKind.IMPOSSIBLE, Outcome.NOT_RUN,
			"the pool has changed");

	private final Random random;

	private final SubmissionRules rules;

	private final SubmissionChecker checker = new SubmissionChecker();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));

	private final List<DataCentreId> dataCentres = new ArrayList<>();

	private final List<SimLog> logs = new ArrayList<>();

	private final List<SimHost> hosts = new ArrayList<>();

	private final Map<String, Long> partitionedUntil = new HashMap<>();

	private final List<HistoryRemoval> historyRemovals = new ArrayList<>();

	private long now = 1_700_000_000L * SECOND;

	private long sequence;

	private long nextRequest;

	private long nextKey;

	private boolean stopped;

	SubmissionSimulation(long seed, Mutation mutation) {
		this.random = new Random(seed);
		this.rules = rules(mutation);
		for (int i = 0; i < DATA_CENTRES; i++) {
			this.dataCentres.add(DataCentreId.of("dc" + i));
			this.logs.add(new SimLog());
		}
		for (int i = 0; i < DATA_CENTRES * HOSTS_PER_DATA_CENTRE; i++) {
			SimHost host = new SimHost(i);
			this.hosts.add(host);
			host.boot();
		}
		schedule(null, 0, this::startClient);
		schedule(null, 0, this::injectFault);
		schedule(null, 0, this::reportLiveness);
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
			step();
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
		this.partitionedUntil.clear();
		this.logs.forEach((log) -> log.downUntil = 0);
		long end = this.now + SETTINGS.claimRetentionNanos() + SETTINGS.maxExpiryAheadNanos() + 10 * SECOND;
		while (this.now < end && this.checker.violation() == null) {
			step();
		}
		for (SimHost host : this.hosts) {
			if (host.system != null) {
				SubmissionCounts counts = host.system.counts();
				if (counts.jobs() + counts.claims() + counts.forwardedRequests() + counts.openRequests()
						+ counts.resultBytes() + counts.openBytes() + counts.uncollectedJobs() > 0) {
					this.checker.fail("state remains on " + host.incarnation + ": " + counts);
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

	private void step() {
		Event event = this.events.poll();
		this.now = Math.max(this.now, event.atNanos);
		SimHost host = event.host;
		if (host == null) {
			event.action.run();
		}
		else if (host.system != null && event.bootCount == host.bootCount) {
			if (host.pausedUntil > this.now) {
				this.events.add(new Event(host.pausedUntil, this.sequence++, host, event.bootCount, event.action));
			}
			else {
				event.action.run();
				host.tick();
			}
		}
	}

	private void schedule(SimHost host, long delay, Runnable action) {
		int boot = (host != null) ? host.bootCount : 0;
		this.events.add(new Event(this.now + delay, this.sequence++, host, boot, action));
	}

	private boolean chance(double probability) {
		return this.random.nextDouble() < probability;
	}

	private long randomBetween(long from, long to) {
		return from + (long) (this.random.nextDouble() * (to - from));
	}

	private <T> T randomElement(List<T> list) {
		return list.get(this.random.nextInt(list.size()));
	}

	// Callers

	private void startClient() {
		if (this.stopped) {
			return;
		}
		schedule(null, randomBetween(MS, 40 * MS), this::startClient);
		while (!this.historyRemovals.isEmpty() && this.historyRemovals.get(0).atNanos < this.now) {
			this.checker.removeHistory(this.historyRemovals.remove(0).key);
		}
		Client client = new Client();
		client.caller = CallerId.of("caller" + this.random.nextInt(3));
		SimHost issuer = randomElement(this.hosts);
		if (chance(0.25) && issuer.system != null && issuer.pausedUntil < this.now) {
			client.key = issuer.system.issueTickets(client.caller, 1, issuer.clockNanos()).get(0).toKey();
		}
		else {
			client.key = SubmissionKey.of("key" + this.nextKey);
		}
		this.nextKey++;
		client.expiryNanos = this.now + randomBetween(3 * SECOND, SETTINGS.maxExpiryAheadNanos() - 2 * SECOND);
		client.idempotent = chance(0.25);
		client.tasks = 1 + this.random.nextInt(4);
		this.historyRemovals.add(new HistoryRemoval(this.now + SETTINGS.claimRetentionNanos() + 60 * SECOND,
				KeyHash.of(client.caller, client.key)));
		client.send();
	}

	// Faults

	private void injectFault() {
		if (this.stopped) {
			return;
		}
		schedule(null, randomBetween(100 * MS, 5 * SECOND), this::injectFault);
		SimHost host = randomElement(this.hosts);
		SimLog log = randomElement(this.logs);
		switch (this.random.nextInt(9)) {
			case 0 -> host.crash();
			case 1 -> {
				host.log.downUntil = this.now + randomBetween(100 * MS, 3 * SECOND);
				host.crash();
			}
			case 2 -> {
				host.log.trim(host.log.endOffset());
				host.crash();
			}
			case 3 -> {
				host.pausedUntil = this.now + randomBetween(100 * MS, 15 * SECOND);
			}
			case 4 -> {
				log.downUntil = this.now + randomBetween(100 * MS, 12 * SECOND);
			}
			case 5 -> {
				log.slowUntil = this.now + randomBetween(SECOND, 10 * SECOND);
			}
			case 6 -> log.trim(chance(0.2) ? log.endOffset() : log.firstOffset + this.random.nextInt(20));
			case 7 -> partition(randomElement(this.dataCentres).value(), randomElement(this.dataCentres).value());
			default -> partition(host.id.value(), randomElement(this.hosts).id.value());
		}
	}

	private void partition(String one, String other) {
		this.partitionedUntil.put(one + "," + other, this.now + randomBetween(100 * MS, 15 * SECOND));
	}

	private boolean isPartitioned(String one, String other) {
		return this.partitionedUntil.getOrDefault(one + "," + other, 0L) > this.now
				|| this.partitionedUntil.getOrDefault(other + "," + one, 0L) > this.now;
	}

	private boolean isPartitioned(SimHost one, SimHost other) {
		return isPartitioned(one.id.value(), other.id.value())
				|| isPartitioned(one.dataCentre.value(), other.dataCentre.value());
	}

	private void reportLiveness() {
		schedule(null, 500 * MS, this::reportLiveness);
		for (SimLog log : this.logs) {
			log.applyRetention();
		}
		SimHost host = randomElement(this.hosts);
		for (SimHost peer : this.hosts) {
			// A host with a long pause is falsely reported as dead.
			boolean dead = peer.system == null || peer.pausedUntil > this.now + 2 * SECOND;
			if (peer == host || isPartitioned(host, peer)) {
				continue;
			}
			Incarnation incarnation = peer.incarnation;
			schedule(host, randomBetween(MS, 50 * MS), () -> {
				if (dead) {
					host.system.incarnationDead(incarnation, host.clockNanos());
				}
				else {
					host.system.incarnationAlive(incarnation, host.clockNanos());
				}
			});
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

	/**
	 * A caller that resubmits through random hosts until it has received a final outcome,
	 * and sometimes after that.
	 */
	private final class Client {

		private CallerId caller;

		private SubmissionKey key;

		private long expiryNanos;

		private boolean idempotent;

		private int tasks;

		private int attempts;

		private void send() {
			if (this.attempts == 6 || SubmissionSimulation.this.now > this.expiryNanos + 10 * SECOND) {
				return;
			}
			SimHost host = randomElement(SubmissionSimulation.this.hosts);
			boolean otherBody = this.attempts > 0 && chance(0.03);
			Submission submission = submission(otherBody);
			long id = ++SubmissionSimulation.this.nextRequest;
			SubmissionSimulation.this.checker.sent(id, submission, SubmissionSimulation.this.now);
			boolean[] answerReceived = new boolean[1];
			schedule(host, randomBetween(MS, 5 * MS), () -> host.receiveSubmission(id, submission, (answer) -> {
				SubmissionSimulation.this.checker.answered(id, answer, SubmissionSimulation.this.now);
				if (!chance(0.05)) {
					answerReceived[0] = true;
					handleAnswer(answer);
				}
			}));
			schedule(null, randomBetween(SECOND, 8 * SECOND), () -> {
				if (!answerReceived[0]) {
					if (host.system != null && chance(0.3)) {
						schedule(host, MS, () -> host.system.abandon(id, host.clockNanos()));
					}
					send();
				}
			});
			if (chance(0.05)) {
				schedule(null, randomBetween(0, 2 * SECOND), this::send);
			}
			if (chance(0.05)) {
				schedule(null, randomBetween(0, 5 * SECOND), this::cancelOrQuery);
			}
		}

		private Submission submission(boolean otherBody) {
			List<SubmittedTask> submittedTasks = new ArrayList<>();
			for (int i = 0; i < this.tasks; i++) {
				byte[] body = (this.key + "/" + i + otherBody).getBytes(StandardCharsets.US_ASCII);
				submittedTasks.add(SubmittedTask.of("task" + i, "POST", "/work", body, this.idempotent));
			}
			int attempt = ++this.attempts;
			return Submission.of(this.caller, this.key, this.expiryNanos,
					chance(0.1) ? Submission.ATTEMPT_UNDECLARED : attempt, chance(0.8), submittedTasks);
		}

		private void handleAnswer(Answer answer) {
			boolean finished = answer.outcome() == Outcome.COMPLETE || answer.outcome() == Outcome.FAILED;
			if (!finished || chance(0.2)) {
				schedule(null, randomBetween(MS, finished ? 10 * SECOND : 3 * SECOND), this::send);
			}
		}

		private void cancelOrQuery() {
			SimHost host = randomElement(SubmissionSimulation.this.hosts);
			boolean cancel = chance(0.5);
			schedule(host, MS, () -> {
				long id = ++SubmissionSimulation.this.nextRequest;
				host.replies.put(id, (answer) -> {
				});
				if (cancel) {
					host.system.cancel(id, this.caller, this.key, 0, host.clockNanos());
				}
				else {
					host.system.query(id, this.caller, this.key, 0, host.clockNanos());
				}
			});
		}

	}

	private record Event(long atNanos, long sequence, SimHost host, int bootCount, Runnable action) {
	}

	private record HistoryRemoval(long atNanos, KeyHash key) {
	}

	/**
	 * The claims stream of a data centre.
	 */
	private final class SimLog {

		private final List<ClaimRecord> records = new ArrayList<>();

		private final List<Runnable> readers = new ArrayList<>();

		private final long skewNanos = randomBetween(-SECOND, SECOND);

		private long firstOffset;

		private long downUntil;

		private long slowUntil;

		private long endOffset() {
			return this.firstOffset + this.records.size();
		}

		private boolean isDown() {
			return this.downUntil > SubmissionSimulation.this.now;
		}

		private long latencyNanos() {
			boolean slow = this.slowUntil > SubmissionSimulation.this.now;
			return slow ? randomBetween(50 * MS, 4 * SECOND) : randomBetween(2 * MS, 8 * MS);
		}

		private void store(List<Claim> claims) {
			this.records.add(new ClaimRecord(endOffset(), SubmissionSimulation.this.now + this.skewNanos, claims));
			List<Runnable> waiting = List.copyOf(this.readers);
			this.readers.clear();
			waiting.forEach(Runnable::run);
		}

		private void trim(long offset) {
			while (this.firstOffset < offset && !this.records.isEmpty()) {
				this.records.remove(0);
				this.firstOffset++;
			}
		}

		private void applyRetention() {
			while (!this.records.isEmpty() && this.records.get(0).appendTimeNanos() + RETENTION_NANOS
					- this.skewNanos < SubmissionSimulation.this.now) {
				trim(this.firstOffset + 1);
			}
		}

		private List<ClaimRecord> readFrom(long offset) {
			int start = (int) Math.max(0, Math.min(offset, endOffset()) - this.firstOffset);
			return List.copyOf(this.records.subList(start, Math.min(this.records.size(), start + 20)));
		}

	}

	/**
	 * An entry host with fakes of its log, links and dispatcher.
	 */
	private final class SimHost {

		private final HostId id;

		private final DataCentreId dataCentre;

		private final SimLog log;

		private final long skewNanos = randomBetween(-SECOND, SECOND);

		private final Map<Long, Consumer<Answer>> replies = new HashMap<>();

		private final Map<String, SimTask> tasks = new HashMap<>();

		private SubmissionSystem system;

		private Incarnation incarnation;

		private int bootCount;

		private long pausedUntil;

		private long wakeNanos;

		private boolean hasRead;

		SimHost(int number) {
			this.id = HostId.of("host" + number);
			this.dataCentre = SubmissionSimulation.this.dataCentres.get(number % DATA_CENTRES);
			this.log = SubmissionSimulation.this.logs.get(number % DATA_CENTRES);
		}

		private long clockNanos() {
			return SubmissionSimulation.this.now + this.skewNanos;
		}

		private void boot() {
			this.bootCount++;
			this.incarnation = Incarnation.of(this.id, clockNanos());
			this.wakeNanos = Long.MAX_VALUE;
			this.hasRead = false;
			DataCentres centres = DataCentres.of(this.dataCentre, SubmissionSimulation.this.dataCentres);
			this.system = new SubmissionSystem(this.incarnation, centres, SETTINGS,
					new TicketAuthority(this.incarnation, SECRET), (submission) -> chance(0.01) ? IMPOSSIBLE : null,
					new Random(this.incarnation.number()), SubmissionSimulation.this.rules);
			schedule(this, 0, this::read);
		}

		private void crash() {
			if (this.system == null) {
				return;
			}
			this.system = null;
			this.replies.clear();
			this.tasks.clear();
			this.pausedUntil = 0;
			schedule(null, randomBetween(10 * MS, 8 * SECOND), this::boot);
		}

		private void tick() {
			this.system.tick(clockNanos(), this::execute);
			long wake = this.system.nextWakeNanos();
			if (wake == Long.MAX_VALUE) {
				return;
			}
			long at = Math.max(wake - this.skewNanos, SubmissionSimulation.this.now + MS / 10);
			if (at < this.wakeNanos) {
				this.wakeNanos = at;
				schedule(this, at - SubmissionSimulation.this.now, () -> this.wakeNanos = Long.MAX_VALUE);
			}
		}

		private void receiveSubmission(long id, Submission submission, Consumer<Answer> reply) {
			SubmissionSimulation.this.checker.delivered(id, SubmissionSimulation.this.now);
			this.replies.put(id, reply);
			this.system.submit(id, submission, 0, clockNanos());
		}

		private void execute(SubmissionEffect effect) {
			if (effect instanceof SubmissionEffect.AppendClaims append) {
				append(append);
			}
			else if (effect instanceof SubmissionEffect.StartTasks start) {
				startTasks(start);
			}
			else if (effect instanceof SubmissionEffect.CancelTask cancel) {
				cancelTask(this.tasks.get(cancel.jobRunNumber() + "/" + cancel.index()));
			}
			else if (effect instanceof SubmissionEffect.ForwardToHost forward) {
				forward(forward.request(), hostOf(forward.target()), forward.target(), forward.message());
			}
			else if (effect instanceof SubmissionEffect.ForwardToDataCentre forward) {
				List<SimHost> targets = SubmissionSimulation.this.hosts.stream()
					.filter((host) -> host.dataCentre.equals(forward.target()))
					.toList();
				SimHost target = randomElement(targets);
				forward(forward.request(), target, target.incarnation, forward.message());
			}
			else if (effect instanceof SubmissionEffect.Reply reply) {
				this.replies.remove(reply.request()).accept(reply.answer());
			}
			else if (effect instanceof SubmissionEffect.InvariantBroken broken) {
				SubmissionSimulation.this.checker.fail(broken.message());
			}
		}

		private SimHost hostOf(Incarnation target) {
			return SubmissionSimulation.this.hosts.stream()
				.filter((host) -> host.id.equals(target.host()))
				.findFirst()
				.orElseThrow();
		}

		// Log

		private void append(SubmissionEffect.AppendClaims append) {
			boolean down = this.log.isDown();
			boolean stored = !down || chance(0.2);
			boolean answered = !down && !chance(0.05);
			long latency = this.log.latencyNanos();
			if (stored) {
				int copies = chance(0.03) ? 2 : 1;
				for (int i = 0; i < copies; i++) {
					schedule(null, latency * (1 + i), () -> this.log.store(append.claims()));
				}
			}
			if (answered) {
				schedule(this, latency, () -> this.system.claimsAppended(append.append(), clockNanos()));
			}
			else if (chance(0.7)) {
				schedule(this, randomBetween(MS, SECOND),
						() -> this.system.appendFailed(append.append(), clockNanos()));
			}
		}

		private void read() {
			long offset = this.system.nextClaimOffset();
			if (this.log.isDown() || chance(0.01)) {
				schedule(this, 100 * MS, this::read);
			}
			else if (this.hasRead && offset >= this.log.firstOffset && offset == this.log.endOffset()
					&& !chance(0.05)) {
				int boot = this.bootCount;
				this.log.readers.add(() -> {
					if (boot == this.bootCount && this.system != null) {
						schedule(this, MS / 2, this::read);
					}
				});
			}
			else {
				long from = chance(0.1) ? offset - this.randomOffset(5) : offset;
				List<ClaimRecord> records = this.log.readFrom(from);
				long first = this.log.firstOffset;
				long end = this.log.endOffset();
				this.hasRead = true;
				schedule(this, this.log.latencyNanos() / 4, () -> {
					this.system.claimsRead(records, first, end, clockNanos());
					schedule(this, records.isEmpty() ? 50 * MS : 0, this::read);
				});
			}
		}

		private long randomOffset(int bound) {
			return SubmissionSimulation.this.random.nextInt(bound);
		}

		// Links

		private void forward(long request, SimHost target, Incarnation incarnation, PeerRequest message) {
			if (target.system == null || !target.incarnation.equals(incarnation) || isPartitioned(this, target)) {
				failForward(request, chance(0.3));
				return;
			}
			boolean lost = chance(0.03);
			if (lost) {
				failForward(request, true);
			}
			if (!lost || chance(0.5)) {
				schedule(target, randomBetween(MS / 2, lost ? 5 * SECOND : 2 * MS),
						() -> target.receiveForwarded(message, (answer) -> {
							if (isPartitioned(this, target) || chance(0.03)) {
								failForward(request, true);
							}
							else {
								replyForward(request, answer);
							}
						}));
			}
		}

		private void failForward(long request, boolean sent) {
			schedule(this, randomBetween(MS, SECOND), () -> this.system.peerFailed(request, sent, clockNanos()));
		}

		private void replyForward(long request, Answer answer) {
			int copies = chance(0.05) ? 2 : 1;
			for (int i = 0; i < copies; i++) {
				schedule(this, randomBetween(MS / 2, chance(0.05) ? 3 * SECOND : 2 * MS),
						() -> this.system.peerReplied(request, answer, clockNanos()));
			}
		}

		private void receiveForwarded(PeerRequest message, Consumer<Answer> reply) {
			long id = ++SubmissionSimulation.this.nextRequest;
			this.replies.put(id, reply);
			if (message instanceof PeerRequest.Submit submit) {
				this.system.submit(id, submit.submission(), submit.hops(), clockNanos());
			}
			else if (message instanceof PeerRequest.Query) {
				this.system.query(id, message.caller(), message.key(), message.hops(), clockNanos());
			}
			else {
				this.system.cancel(id, message.caller(), message.key(), message.hops(), clockNanos());
			}
		}

		// Dispatcher and upstreams

		private void startTasks(SubmissionEffect.StartTasks start) {
			boolean refused = chance(0.08);
			for (int i = 0; i < start.submission().tasks().size(); i++) {
				SimTask task = new SimTask();
				task.runNumber = start.jobRunNumber();
				task.index = i;
				task.submission = start.submission();
				this.tasks.put(task.runNumber + "/" + i, task);
				if (refused || chance(0.01)) {
					schedule(this, MS, () -> refuse(task, ErrorKind.OVERLOADED));
				}
				else {
					schedule(this, randomBetween(0, chance(0.1) ? 3 * SECOND : 30 * MS), () -> run(task));
				}
			}
		}

		private void run(SimTask task) {
			if (task.ended) {
				return;
			}
			if (clockNanos() >= task.submission.expiryNanos()) {
				refuse(task, ErrorKind.DEADLINE_EXCEEDED);
				return;
			}
			task.started = true;
			SubmissionSimulation.this.checker.started(task.submission, task.index, SubmissionSimulation.this.now);
			byte[] body = (task.submission.key() + "/" + task.index + "/" + SubmissionSimulation.this.sequence)
				.getBytes(StandardCharsets.UTF_8);
			schedule(this, randomBetween(MS, chance(0.1) ? 5 * SECOND : 200 * MS), () -> {
				if (chance(0.9)) {
					SubmissionSimulation.this.checker.completed(task.submission, task.index, body);
					end(task, TaskResult.complete(200, body));
				}
				else {
					Outcome outcome = chance(0.5) ? Outcome.FAILED : Outcome.UNKNOWN;
					end(task, TaskResult.incomplete(outcome, ErrorKind.UPSTREAM_FAILED, "the upstream failed", 0));
				}
			});
		}

		private void refuse(SimTask task, ErrorKind error) {
			end(task, TaskResult.incomplete(Outcome.NOT_RUN, error, "refused", SECOND));
		}

		private void end(SimTask task, TaskResult result) {
			if (task.ended) {
				// A late or duplicate report must have no effect.
				this.system.taskEnded(task.runNumber, task.index, result, clockNanos());
				return;
			}
			task.ended = true;
			this.tasks.remove(task.runNumber + "/" + task.index);
			this.system.taskEnded(task.runNumber, task.index, result, clockNanos());
		}

		private void cancelTask(SimTask task) {
			if (task == null || task.ended) {
				return;
			}
			if (!task.started) {
				task.ended = true;
				this.tasks.remove(task.runNumber + "/" + task.index);
				schedule(this, MS, () -> this.system.taskEnded(task.runNumber, task.index,
						TaskResult.incomplete(Outcome.NOT_RUN, ErrorKind.CANCELLED, "cancelled", 0), clockNanos()));
			}
			else if (chance(0.5)) {
				schedule(this, MS, () -> end(task,
						TaskResult.incomplete(Outcome.UNKNOWN, ErrorKind.CANCELLED, "cancelled in flight", 0)));
			}
		}

	}

	private static final class SimTask {

		private long runNumber;

		private int index;

		private Submission submission;

		private boolean started;

		private boolean ended;

	}

}
