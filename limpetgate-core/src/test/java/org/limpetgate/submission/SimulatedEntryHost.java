package org.limpetgate.submission;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * An entry host in a {@link SubmissionSimulation}: a submission system with fakes of its
 * log, links and dispatcher.
 * <p>
 * After a crash the host boots as a new incarnation without state. Not thread-safe.
 */
final class SimulatedEntryHost {

	private static final long MS = SimulationLoop.MS;

	private static final long SECOND = SimulationLoop.SECOND;

	private static final byte[] SECRET = "sixteen bytes or more".getBytes(StandardCharsets.US_ASCII);

	private static final DispatchException IMPOSSIBLE = DispatchException.of(ErrorKind.IMPOSSIBLE, Outcome.NOT_RUN,
			"the pool has changed");

	private final SimulationLoop loop;

	private final SimulatedNetwork network;

	private final SubmissionChecker checker;

	private final SubmissionSettings settings;

	private final SubmissionRules rules;

	private final HostId id;

	private final DataCentres dataCentres;

	private final SimulatedClaimLog log;

	private final long skewNanos;

	private final Map<Long, Consumer<Answer>> replies = new HashMap<>();

	private final SimulatedUpstreams upstreams;

	private SubmissionSystem system;

	private Incarnation incarnation;

	private int bootCount;

	private long pausedUntil;

	private long wakeNanos;

	private boolean hasRead;

	SimulatedEntryHost(HostId id, DataCentres dataCentres, SimulatedClaimLog log, SubmissionSettings settings,
			SubmissionRules rules, SimulationLoop loop, SimulatedNetwork network, SubmissionChecker checker) {
		this.id = id;
		this.dataCentres = dataCentres;
		this.log = log;
		this.settings = settings;
		this.rules = rules;
		this.loop = loop;
		this.network = network;
		this.checker = checker;
		this.skewNanos = loop.randomBetween(-SECOND, SECOND);
		this.upstreams = new SimulatedUpstreams(this, loop, checker);
	}

	HostId id() {
		return this.id;
	}

	DataCentreId dataCentre() {
		return this.dataCentres.local();
	}

	SimulatedClaimLog log() {
		return this.log;
	}

	Incarnation incarnation() {
		return this.incarnation;
	}

	int bootCount() {
		return this.bootCount;
	}

	boolean isRunning() {
		return this.system != null;
	}

	long pausedUntil() {
		return this.pausedUntil;
	}

	SubmissionCounts counts() {
		return this.system.counts();
	}

	long clockNanos() {
		return this.loop.now() + this.skewNanos;
	}

	void boot() {
		this.bootCount++;
		this.incarnation = Incarnation.of(this.id, clockNanos());
		this.wakeNanos = Long.MAX_VALUE;
		this.hasRead = false;
		this.system = new SubmissionSystem(this.incarnation, this.dataCentres, this.settings,
				new TicketAuthority(this.incarnation, SECRET),
				(submission) -> this.loop.chance(0.01) ? IMPOSSIBLE : null, new Random(this.incarnation.number()),
				this.rules);
		this.loop.schedule(this, 0, this::read);
	}

	void crash() {
		if (this.system == null) {
			return;
		}
		this.system = null;
		this.replies.clear();
		this.upstreams.reset();
		this.pausedUntil = 0;
		this.loop.schedule(this.loop.randomBetween(10 * MS, 8 * SECOND), this::boot);
	}

	void pauseUntil(long nanos) {
		this.pausedUntil = nanos;
	}

	void tick() {
		this.system.tick(clockNanos(), this::execute);
		long wake = this.system.nextWakeNanos();
		if (wake == Long.MAX_VALUE) {
			return;
		}
		long at = Math.max(wake - this.skewNanos, this.loop.now() + MS / 10);
		if (at < this.wakeNanos) {
			this.wakeNanos = at;
			this.loop.schedule(this, at - this.loop.now(), () -> this.wakeNanos = Long.MAX_VALUE);
		}
	}

	void receiveSubmission(long id, Submission submission, Consumer<Answer> reply) {
		this.checker.delivered(id, this.loop.now());
		this.replies.put(id, reply);
		this.system.submit(id, submission, 0, clockNanos());
	}

	void cancel(long request, CallerId caller, SubmissionKey key) {
		ignoreReply(request);
		this.system.cancel(request, caller, key, 0, clockNanos());
	}

	void query(long request, CallerId caller, SubmissionKey key) {
		ignoreReply(request);
		this.system.query(request, caller, key, 0, clockNanos());
	}

	private void ignoreReply(long request) {
		this.replies.put(request, (answer) -> {
		});
	}

	void abandon(long request) {
		this.system.abandon(request, clockNanos());
	}

	SubmissionKey issueTicket(CallerId caller) {
		return this.system.issueTickets(caller, 1, clockNanos()).get(0).toKey();
	}

	void reportLiveness(Incarnation peer, boolean dead) {
		if (dead) {
			this.system.incarnationDead(peer, clockNanos());
		}
		else {
			this.system.incarnationAlive(peer, clockNanos());
		}
	}

	void taskEnded(long runNumber, int index, TaskResult result) {
		this.system.taskEnded(runNumber, index, result, clockNanos());
	}

	private void execute(SubmissionEffect effect) {
		if (effect instanceof SubmissionEffect.AppendClaims append) {
			append(append);
		}
		else if (effect instanceof SubmissionEffect.StartTasks start) {
			this.upstreams.start(start);
		}
		else if (effect instanceof SubmissionEffect.CancelTask cancel) {
			this.upstreams.cancel(cancel);
		}
		else if (effect instanceof SubmissionEffect.ForwardToHost forward) {
			forward(forward.request(), this.network.hostOf(forward.target()), forward.target(), forward.message());
		}
		else if (effect instanceof SubmissionEffect.ForwardToDataCentre forward) {
			SimulatedEntryHost target = this.network.randomHostOf(forward.target());
			forward(forward.request(), target, target.incarnation, forward.message());
		}
		else if (effect instanceof SubmissionEffect.Reply reply) {
			this.replies.remove(reply.request()).accept(reply.answer());
		}
		else if (effect instanceof SubmissionEffect.InvariantBroken broken) {
			this.checker.fail(broken.message());
		}
	}

	// Log

	private void append(SubmissionEffect.AppendClaims append) {
		boolean down = this.log.isDown();
		boolean stored = !down || this.loop.chance(0.2);
		boolean answered = !down && !this.loop.chance(0.05);
		long latency = this.log.latencyNanos();
		if (stored) {
			int copies = this.loop.chance(0.03) ? 2 : 1;
			for (int i = 0; i < copies; i++) {
				this.loop.schedule(latency * (1 + i), () -> this.log.store(append.claims()));
			}
		}
		if (answered) {
			this.loop.schedule(this, latency, () -> this.system.claimsAppended(append.append(), clockNanos()));
		}
		else if (this.loop.chance(0.7)) {
			this.loop.schedule(this, this.loop.randomBetween(MS, SECOND),
					() -> this.system.appendFailed(append.append(), clockNanos()));
		}
	}

	private void read() {
		long offset = this.system.nextClaimOffset();
		if (this.log.isDown() || this.loop.chance(0.01)) {
			this.loop.schedule(this, 100 * MS, this::read);
		}
		else if (this.hasRead && offset >= this.log.firstOffset() && offset == this.log.endOffset()
				&& !this.loop.chance(0.05)) {
			int boot = this.bootCount;
			this.log.addReader(() -> {
				if (boot == this.bootCount && this.system != null) {
					this.loop.schedule(this, MS / 2, this::read);
				}
			});
		}
		else {
			long from = this.loop.chance(0.1) ? offset - this.loop.randomBelow(5) : offset;
			List<ClaimRecord> records = this.log.readFrom(from);
			long first = this.log.firstOffset();
			long end = this.log.endOffset();
			this.hasRead = true;
			this.loop.schedule(this, this.log.latencyNanos() / 4, () -> {
				this.system.claimsRead(records, first, end, clockNanos());
				this.loop.schedule(this, records.isEmpty() ? 50 * MS : 0, this::read);
			});
		}
	}

	// Links

	private void forward(long request, SimulatedEntryHost target, Incarnation incarnation, PeerRequest message) {
		if (target.system == null || !target.incarnation.equals(incarnation)
				|| this.network.isPartitioned(this, target)) {
			failForward(request, this.loop.chance(0.3));
			return;
		}
		boolean lost = this.loop.chance(0.03);
		if (lost) {
			failForward(request, true);
		}
		if (!lost || this.loop.chance(0.5)) {
			this.loop.schedule(target, this.loop.randomBetween(MS / 2, lost ? 5 * SECOND : 2 * MS),
					() -> target.receiveForwarded(message, (answer) -> {
						if (this.network.isPartitioned(this, target) || this.loop.chance(0.03)) {
							failForward(request, true);
						}
						else {
							replyForward(request, answer);
						}
					}));
		}
	}

	private void failForward(long request, boolean sent) {
		this.loop.schedule(this, this.loop.randomBetween(MS, SECOND),
				() -> this.system.peerFailed(request, sent, clockNanos()));
	}

	private void replyForward(long request, Answer answer) {
		int copies = this.loop.chance(0.05) ? 2 : 1;
		for (int i = 0; i < copies; i++) {
			this.loop.schedule(this, this.loop.randomBetween(MS / 2, this.loop.chance(0.05) ? 3 * SECOND : 2 * MS),
					() -> this.system.peerReplied(request, answer, clockNanos()));
		}
	}

	private void receiveForwarded(PeerRequest message, Consumer<Answer> reply) {
		long id = this.network.nextRequest();
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

}
