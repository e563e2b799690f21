package org.limpetgate.bench.submission;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.HdrHistogram.Histogram;
import org.limpetgate.CallerId;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.SubmissionKey;
import org.limpetgate.submission.Answer;
import org.limpetgate.submission.ClaimRecord;
import org.limpetgate.submission.PeerRequest;
import org.limpetgate.submission.Submission;
import org.limpetgate.submission.SubmissionEffect;
import org.limpetgate.submission.SubmissionSettings;
import org.limpetgate.submission.SubmissionSystem;
import org.limpetgate.submission.SubmittedTask;
import org.limpetgate.submission.TaskResult;
import org.limpetgate.submission.TicketAuthority;
import org.limpetgate.wire.ClaimCodec;

/**
 * Simulates the submission systems of several hosts of one data centre in virtual time
 * and measures the delay from the arrival of each job to the start of its tasks.
 * <p>
 * An append takes 3 to 8 ms, a long poll returns a stored record after 0.2 to 0.9 ms, and
 * a message between hosts takes 0.15 to 0.45 ms. Each job arrives at a random host, and
 * tickets are issued by random hosts.
 */
final class ClaimLoad {

	private static final long MICRO_NANOS = TimeUnit.MICROSECONDS.toNanos(1);

	private static final long MIN_TIME_TO_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(60);

	private static final long MAX_TIME_TO_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(600);

	private static final long DRAIN_NANOS = TimeUnit.SECONDS.toNanos(5);

	private static final int TICKETS_PER_REQUEST = 10;

	private final Random random;

	private final boolean tickets;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));

	private final List<SimulatedHost> hosts = new ArrayList<>();

	private final List<ClaimRecord> log = new ArrayList<>();

	private final Map<SubmissionKey, Long> arrivals = new HashMap<>();

	private final Histogram startDelayMicros = new Histogram(3);

	private long now = TimeUnit.DAYS.toNanos(1);

	private long sequence;

	private long nextRequest;

	private long jobs;

	private long appends;

	private long claims;

	private long logBytes;

	ClaimLoad(long seed, int hosts, boolean tickets) {
		this.random = new Random(seed);
		this.tickets = tickets;
		for (int i = 0; i < hosts; i++) {
			this.hosts.add(new SimulatedHost("entry-host-" + i));
		}
	}

	void run(int jobsPerSecond, int seconds) {
		long end = this.now + TimeUnit.SECONDS.toNanos(seconds);
		schedule(0, () -> submitNext(jobsPerSecond, end));
		while (!this.events.isEmpty() && this.events.peek().at <= end + DRAIN_NANOS) {
			Event event = this.events.poll();
			this.now = event.at;
			event.action.run();
		}
		if (!this.arrivals.isEmpty()) {
			throw new IllegalStateException(this.arrivals.size() + " jobs were not started");
		}
	}

	private void submitNext(int jobsPerSecond, long end) {
		if (this.now >= end) {
			return;
		}
		double gapSeconds = -Math.log(1 - this.random.nextDouble()) / jobsPerSecond;
		schedule((long) (gapSeconds * TimeUnit.SECONDS.toNanos(1)), () -> submitNext(jobsPerSecond, end));
		CallerId caller = CallerId.of("caller");
		SubmissionKey key = this.tickets ? randomHost().nextTicket(caller) : SubmissionKey.of("key" + this.jobs);
		this.jobs++;
		SubmittedTask task = SubmittedTask.of("1", "POST", "/work", new byte[0], false);
		Submission submission = Submission.of(caller, key, this.now + timeToExpiryNanos(), 1, true, List.of(task));
		this.arrivals.put(key, this.now);
		SimulatedHost host = randomHost();
		host.system.submit(++this.nextRequest, submission, 0, this.now);
		host.tick();
	}

	// Spreads the expiry times of the claims in an append: the further they are apart,
	// the more bytes the encoding of their differences takes.
	private long timeToExpiryNanos() {
		return MIN_TIME_TO_EXPIRY_NANOS
				+ (this.jobs * 7_919_000_000L) % (MAX_TIME_TO_EXPIRY_NANOS - MIN_TIME_TO_EXPIRY_NANOS);
	}

	private SimulatedHost randomHost() {
		return this.hosts.get(this.random.nextInt(this.hosts.size()));
	}

	private void schedule(long delay, Runnable action) {
		this.events.add(new Event(this.now + delay, this.sequence++, action));
	}

	private long randomNanos(long fromMicros, long toMicros) {
		return MICRO_NANOS * fromMicros + (long) (this.random.nextDouble() * (toMicros - fromMicros) * MICRO_NANOS);
	}

	private void store(SubmissionEffect.AppendClaims append) {
		this.log.add(new ClaimRecord(this.log.size(), this.now, append.claims()));
		this.hosts.forEach((host) -> schedule(randomNanos(200, 900), host::readClaims));
	}

	double startDelayMillis(double percentile) {
		return this.startDelayMicros.getValueAtPercentile(percentile) / 1000.0;
	}

	long jobs() {
		return this.jobs;
	}

	long appends() {
		return this.appends;
	}

	long claims() {
		return this.claims;
	}

	long logBytes() {
		return this.logBytes;
	}

	private record Event(long at, long sequence, Runnable action) {
	}

	/**
	 * A simulated entry host whose tasks complete immediately.
	 */
	private final class SimulatedHost {

		private final Incarnation incarnation;

		private final SubmissionSystem system;

		private final Map<Long, Consumer<Answer>> forwarded = new HashMap<>();

		private final Deque<SubmissionKey> unusedTickets = new ArrayDeque<>();

		private long wakeAt = Long.MAX_VALUE;

		SimulatedHost(String name) {
			this.incarnation = Incarnation.of(HostId.of(name), 1);
			this.system = new SubmissionSystem(this.incarnation, ClaimExperiment.dataCentre(),
					SubmissionSettings.DEFAULT, new TicketAuthority(this.incarnation, ClaimExperiment.ticketSecret()),
					(submission) -> null, new Random(1));
			this.system.claimsRead(List.of(), 0, 0, ClaimLoad.this.now);
		}

		private SubmissionKey nextTicket(CallerId caller) {
			if (this.unusedTickets.isEmpty()) {
				this.system.issueTickets(caller, TICKETS_PER_REQUEST, ClaimLoad.this.now)
					.forEach((ticket) -> this.unusedTickets.add(ticket.toKey()));
			}
			return this.unusedTickets.poll();
		}

		private void readClaims() {
			int from = (int) this.system.nextClaimOffset();
			List<ClaimRecord> records = List.copyOf(ClaimLoad.this.log.subList(from, ClaimLoad.this.log.size()));
			this.system.claimsRead(records, 0, ClaimLoad.this.log.size(), ClaimLoad.this.now);
			tick();
		}

		private void tick() {
			this.system.tick(ClaimLoad.this.now, this::apply);
			long wake = Math.max(this.system.nextWakeNanos(), ClaimLoad.this.now + MICRO_NANOS);
			if (wake < this.wakeAt && wake != Long.MAX_VALUE) {
				this.wakeAt = wake;
				schedule(wake - ClaimLoad.this.now, () -> {
					this.wakeAt = Long.MAX_VALUE;
					tick();
				});
			}
		}

		private void apply(SubmissionEffect effect) {
			if (effect instanceof SubmissionEffect.AppendClaims append) {
				append(append);
			}
			else if (effect instanceof SubmissionEffect.StartTasks start) {
				start(start);
			}
			else if (effect instanceof SubmissionEffect.ForwardToHost forward) {
				SimulatedHost target = ClaimLoad.this.hosts.stream()
					.filter((host) -> host.incarnation.equals(forward.target()))
					.findFirst()
					.orElseThrow();
				schedule(randomNanos(150, 450),
						() -> target.receiveForwarded((PeerRequest.Submit) forward.message(), this, forward.request()));
			}
			else if (effect instanceof SubmissionEffect.Reply reply) {
				reply(reply);
			}
			else {
				throw new IllegalStateException("unexpected effect " + effect);
			}
		}

		private void receiveForwarded(PeerRequest.Submit message, SimulatedHost from, long fromRequest) {
			long request = ++ClaimLoad.this.nextRequest;
			this.forwarded.put(request, (answer) -> schedule(randomNanos(150, 450), () -> {
				from.system.peerReplied(fromRequest, answer, ClaimLoad.this.now);
				from.tick();
			}));
			this.system.submit(request, message.submission(), message.hops(), ClaimLoad.this.now);
			tick();
		}

		private void reply(SubmissionEffect.Reply reply) {
			if (reply.answer().error() != null) {
				throw new IllegalStateException("a job was refused: " + reply.answer().message());
			}
			Consumer<Answer> sendToForwarder = this.forwarded.remove(reply.request());
			if (sendToForwarder != null) {
				sendToForwarder.accept(reply.answer());
			}
		}

		private void append(SubmissionEffect.AppendClaims append) {
			ClaimLoad.this.appends++;
			ClaimLoad.this.claims += append.claims().size();
			ClaimLoad.this.logBytes += ClaimCodec.encode(this.incarnation, append.claims()).length;
			schedule(randomNanos(3000, 8000), () -> {
				store(append);
				this.system.claimsAppended(append.append(), ClaimLoad.this.now);
				tick();
			});
		}

		private void start(SubmissionEffect.StartTasks start) {
			long arrived = ClaimLoad.this.arrivals.remove(start.submission().key());
			ClaimLoad.this.startDelayMicros.recordValue((ClaimLoad.this.now - arrived) / MICRO_NANOS);
			TaskResult result = TaskResult.complete(200, "done".getBytes(StandardCharsets.US_ASCII));
			schedule(MICRO_NANOS, () -> {
				this.system.taskEnded(start.jobRunNumber(), 0, result, ClaimLoad.this.now);
				tick();
			});
		}

	}

}
