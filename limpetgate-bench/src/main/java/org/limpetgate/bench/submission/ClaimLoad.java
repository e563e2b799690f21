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
 * Offers jobs to the submission systems of several hosts of one data centre in virtual
 * time and measures the time from the arrival of each job to the start of its tasks.
 * <p>
 * An append takes 3 to 8 ms, a long poll reports a stored record after 0.2 to 0.9 ms, and
 * a message between hosts takes 0.15 to 0.45 ms. Jobs arrive at random at any host; a
 * ticket was issued by any host.
 */
final class ClaimLoad {

	private static final long MICRO = TimeUnit.MICROSECONDS.toNanos(1);

	private static final long MIN_EXPIRY_AHEAD = TimeUnit.SECONDS.toNanos(60);

	private static final long MAX_EXPIRY_AHEAD = TimeUnit.SECONDS.toNanos(600);

	private static final long SETTLE = TimeUnit.SECONDS.toNanos(5);

	private static final int TICKET_BLOCK = 10;

	private final Random random;

	private final boolean tickets;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));

	private final List<LoadHost> hosts = new ArrayList<>();

	private final List<ClaimRecord> log = new ArrayList<>();

	private final Map<SubmissionKey, Long> arrivals = new HashMap<>();

	private final Histogram added = new Histogram(3);

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
			this.hosts.add(new LoadHost("entry-host-" + i));
		}
	}

	void run(int jobsPerSecond, int seconds) {
		long end = this.now + TimeUnit.SECONDS.toNanos(seconds);
		later(0, () -> arrive(jobsPerSecond, end));
		while (!this.events.isEmpty() && this.events.peek().at <= end + SETTLE) {
			Event event = this.events.poll();
			this.now = event.at;
			event.action.run();
		}
		if (!this.arrivals.isEmpty()) {
			throw new IllegalStateException(this.arrivals.size() + " jobs were not started");
		}
	}

	private void arrive(int jobsPerSecond, long end) {
		if (this.now >= end) {
			return;
		}
		double gapSeconds = -Math.log(1 - this.random.nextDouble()) / jobsPerSecond;
		later((long) (gapSeconds * TimeUnit.SECONDS.toNanos(1)), () -> arrive(jobsPerSecond, end));
		CallerId caller = CallerId.of("caller");
		SubmissionKey key = this.tickets ? anyHost().ticket(caller) : SubmissionKey.of("key" + this.jobs);
		this.jobs++;
		SubmittedTask task = SubmittedTask.of("1", "POST", "/work", new byte[0], false);
		Submission submission = Submission.of(caller, key, this.now + expiryAhead(), 1, true, List.of(task));
		this.arrivals.put(key, this.now);
		LoadHost host = anyHost();
		host.system.submit(++this.nextRequest, submission, 0, this.now);
		host.tick();
	}

	// Spreads the expiries of the claims in an append, because their differences take
	// more bytes the further they are apart.
	private long expiryAhead() {
		return MIN_EXPIRY_AHEAD + (this.jobs * 7_919_000_000L) % (MAX_EXPIRY_AHEAD - MIN_EXPIRY_AHEAD);
	}

	private LoadHost anyHost() {
		return this.hosts.get(this.random.nextInt(this.hosts.size()));
	}

	private void later(long delay, Runnable action) {
		this.events.add(new Event(this.now + delay, this.sequence++, action));
	}

	private long between(long fromMicros, long toMicros) {
		return MICRO * fromMicros + (long) (this.random.nextDouble() * (toMicros - fromMicros) * MICRO);
	}

	private void store(SubmissionEffect.AppendClaims append) {
		this.log.add(new ClaimRecord(this.log.size(), this.now, append.claims()));
		this.hosts.forEach((host) -> later(between(200, 900), host::read));
	}

	double addedMillis(double percentile) {
		return this.added.getValueAtPercentile(percentile) / 1000.0;
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
	 * An entry host whose tasks complete at once.
	 */
	private final class LoadHost {

		private final Incarnation incarnation;

		private final SubmissionSystem system;

		private final Map<Long, Consumer<Answer>> relayed = new HashMap<>();

		private final Deque<SubmissionKey> block = new ArrayDeque<>();

		private long wakeAt = Long.MAX_VALUE;

		LoadHost(String name) {
			this.incarnation = Incarnation.of(HostId.of(name), 1);
			this.system = new SubmissionSystem(this.incarnation, ClaimExperiment.dataCentre(),
					SubmissionSettings.DEFAULT, new TicketAuthority(this.incarnation, ClaimExperiment.ticketSecret()),
					(submission) -> null, new Random(1));
			this.system.claimsRead(List.of(), 0, 0, ClaimLoad.this.now);
		}

		private SubmissionKey ticket(CallerId caller) {
			if (this.block.isEmpty()) {
				this.system.issueTickets(caller, TICKET_BLOCK, ClaimLoad.this.now)
					.forEach((ticket) -> this.block.add(ticket.toKey()));
			}
			return this.block.poll();
		}

		private void read() {
			int from = (int) this.system.nextClaimOffset();
			List<ClaimRecord> records = List.copyOf(ClaimLoad.this.log.subList(from, ClaimLoad.this.log.size()));
			this.system.claimsRead(records, 0, ClaimLoad.this.log.size(), ClaimLoad.this.now);
			tick();
		}

		private void tick() {
			this.system.tick(ClaimLoad.this.now, this::carryOut);
			long wake = Math.max(this.system.nextWakeNanos(), ClaimLoad.this.now + MICRO);
			if (wake < this.wakeAt && wake != Long.MAX_VALUE) {
				this.wakeAt = wake;
				later(wake - ClaimLoad.this.now, () -> {
					this.wakeAt = Long.MAX_VALUE;
					tick();
				});
			}
		}

		private void carryOut(SubmissionEffect effect) {
			if (effect instanceof SubmissionEffect.AppendClaims append) {
				append(append);
			}
			else if (effect instanceof SubmissionEffect.StartTasks start) {
				start(start);
			}
			else if (effect instanceof SubmissionEffect.ForwardToHost forward) {
				LoadHost target = ClaimLoad.this.hosts.stream()
					.filter((host) -> host.incarnation.equals(forward.target()))
					.findFirst()
					.orElseThrow();
				later(between(150, 450),
						() -> target.take((PeerRequest.Submit) forward.message(), this, forward.request()));
			}
			else if (effect instanceof SubmissionEffect.Reply reply) {
				reply(reply);
			}
			else {
				throw new IllegalStateException("unexpected effect " + effect);
			}
		}

		private void take(PeerRequest.Submit message, LoadHost from, long fromRequest) {
			long request = ++ClaimLoad.this.nextRequest;
			this.relayed.put(request, (answer) -> later(between(150, 450), () -> {
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
			Consumer<Answer> relay = this.relayed.remove(reply.request());
			if (relay != null) {
				relay.accept(reply.answer());
			}
		}

		private void append(SubmissionEffect.AppendClaims append) {
			ClaimLoad.this.appends++;
			ClaimLoad.this.claims += append.claims().size();
			ClaimLoad.this.logBytes += ClaimCodec.encode(this.incarnation, append.claims()).length;
			later(between(3000, 8000), () -> {
				store(append);
				this.system.claimsAppended(append.append(), ClaimLoad.this.now);
				tick();
			});
		}

		private void start(SubmissionEffect.StartTasks start) {
			long arrived = ClaimLoad.this.arrivals.remove(start.submission().key());
			ClaimLoad.this.added.recordValue((ClaimLoad.this.now - arrived) / MICRO);
			TaskResult result = TaskResult.complete(200, "done".getBytes(StandardCharsets.US_ASCII));
			later(MICRO, () -> {
				this.system.taskEnded(start.job(), 0, result, ClaimLoad.this.now);
				tick();
			});
		}

	}

}
