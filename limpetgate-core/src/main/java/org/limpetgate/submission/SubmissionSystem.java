package org.limpetgate.submission;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.limpetgate.CallerId;
import org.limpetgate.DataCentreId;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Incarnation;
import org.limpetgate.Outcome;
import org.limpetgate.SubmissionKey;
import org.limpetgate.submission.ClaimWaits.ClaimWait;
import org.limpetgate.submission.RelayTable.Relay;

/**
 * Decides which submissions this entry host starts, and answers them.
 * <p>
 * No task of a submission starts twice: a job starts only if this incarnation holds the
 * first claim of its key and has read it back, if its key is a ticket of this
 * incarnation, or if all its tasks are idempotent. A refusal says "not run" only if this
 * host holds the key exclusively and has not started it, or if the caller declared its
 * first attempt and the request was not passed on. A job is answered when every task has
 * ended.
 * <p>
 * The system does no I/O. Its host reports events with a non-decreasing time and carries
 * out the effects that {@link #tick} emits. Records of the claims stream are read by one
 * reader, one read at a time, from {@link #nextClaimOffset}; the first read must not wait
 * for records, since no claim is made before it. Each request number is used once. Not
 * thread-safe: it belongs to the control thread.
 */
public final class SubmissionSystem {

	/** Caller's host, host of the home data centre, holder, and one outdated view. */
	private static final int MAX_HOPS = 3;

	private final Incarnation self;

	private final DataCentres dataCentres;

	private final SubmissionSettings settings;

	private final TicketAuthority tickets;

	private final JobCheck check;

	private final SubmissionRules rules;

	private final ClaimTable claims;

	private final JobTable jobs;

	private final ClaimAppender appender;

	private final Replies replies;

	private final JobRunner runner;

	private final RelayTable relays = new RelayTable();

	private final DeadIncarnations dead;

	private long now;

	private boolean draining;

	private long droppedEvents;

	/**
	 * Creates a system that knows no claims and no jobs.
	 * @param self this incarnation, not null
	 * @param dataCentres the configured data centres, not null
	 * @param settings the settings, not null
	 * @param tickets issues and checks tickets, not null
	 * @param check tells which jobs can never run, not null
	 * @param random spreads the times to come back, not null
	 */
	public SubmissionSystem(Incarnation self, DataCentres dataCentres, SubmissionSettings settings,
			TicketAuthority tickets, JobCheck check, RandomGenerator random) {
		this(self, dataCentres, settings, tickets, check, random, new SubmissionRules());
	}

	SubmissionSystem(Incarnation self, DataCentres dataCentres, SubmissionSettings settings, TicketAuthority tickets,
			JobCheck check, RandomGenerator random, SubmissionRules rules) {
		this.self = self;
		this.dataCentres = dataCentres;
		this.settings = settings;
		this.tickets = tickets;
		this.check = check;
		this.rules = rules;
		this.claims = new ClaimTable(settings, rules);
		this.jobs = new JobTable(settings);
		this.appender = new ClaimAppender(settings);
		this.dead = new DeadIncarnations(self);
		this.replies = new Replies(random);
		this.runner = new JobRunner(self, this.claims, this.jobs, rules, this.replies);
	}

	/**
	 * Takes a submission from a caller or a peer.
	 * @param request the number of the request, not used before
	 * @param submission the submission, not null
	 * @param hops the number of hosts that have passed it on, 0 from a caller
	 * @param nowNanos the present time
	 */
	public void submit(long request, Submission submission, int hops, long nowNanos) {
		advance(nowNanos);
		this.replies.requests().open(request, submission.sizeBytes());
		route(Waiter.of(request, submission, hops));
	}

	private void route(Waiter waiter) {
		Submission submission = waiter.submission();
		Job job = this.jobs.find(submission.keyHash());
		if (job != null) {
			attach(job, waiter);
		}
		else if (Ticket.isTicket(submission.key())) {
			routeTicket(waiter);
		}
		else if (!this.dataCentres.homeOf(submission.keyHash()).equals(this.dataCentres.own())) {
			routeElsewhere(waiter);
		}
		else {
			routeByClaim(waiter);
		}
	}

	private void routeTicket(Waiter waiter) {
		Submission submission = waiter.submission();
		Ticket ticket = this.tickets.check(submission.caller(), submission.key());
		if (ticket == null) {
			// The ticket may be signed with a secret that this host lacks, and may have
			// been started by its issuer.
			this.replies.refuse(waiter, ErrorKind.INVALID_TICKET, "the ticket is not genuine for this caller");
		}
		else if (this.dead.contains(ticket.issuer())) {
			this.replies.refuse(waiter, Outcome.UNKNOWN, ErrorKind.HOLDER_LOST,
					"the issuer " + ticket.issuer() + " of the ticket has ended");
		}
		else if (!ticket.issuer().equals(this.self)) {
			forward(waiter, ticket.issuer());
		}
		else if (ticket.expiryNanos() <= this.now) {
			this.replies.refuse(waiter, ErrorKind.EXPIRED, "the ticket has expired");
		}
		else if (isAcceptable(waiter)) {
			long keepUntil = Math.max(ticket.expiryNanos(), keepUntil(submission));
			Job job = new Job(submission, Job.Right.TICKET, Job.State.HELD, 0, keepUntil);
			job.ticket = ticket;
			this.jobs.add(job);
			startHeld(job, waiter);
		}
	}

	private void routeElsewhere(Waiter waiter) {
		DataCentreId home = this.dataCentres.homeOf(waiter.submission().keyHash());
		if (waiter.hops() > 0) {
			this.replies.refuseLater(waiter, ErrorKind.HISTORY_UNAVAILABLE,
					"the hosts disagree about the home data centre of the key; check their data centre settings");
		}
		else if (isAcceptable(waiter)) {
			addRelay(waiter, null, home);
			this.replies.emit(new SubmissionEffect.ForwardToDataCentre(waiter.request(), home,
					new PeerRequest.Submit(waiter.submission(), waiter.hops() + 1)));
		}
	}

	private void routeByClaim(Waiter waiter) {
		Submission submission = waiter.submission();
		Claim claim = this.claims.find(submission.keyHash());
		if (claim == null) {
			claim(waiter, 0);
		}
		else if (claim.fingerprint() != submission.fingerprint()) {
			this.replies.refuse(waiter, Outcome.UNKNOWN, ErrorKind.KEY_REUSED,
					"the key was used with another body or expiry");
		}
		else if (claim.holder().equals(this.self)) {
			routeToForgotten(waiter);
		}
		else if (!this.dead.contains(claim.holder())) {
			forward(waiter.withoutProof(), claim.holder());
		}
		else if (submission.isIdempotent()) {
			claim(waiter.withoutProof(), claim.generation() + 1);
		}
		else {
			this.replies.refuse(waiter, Outcome.UNKNOWN, ErrorKind.HOLDER_LOST,
					"the holder " + claim.holder() + " has ended");
		}
	}

	// A key that this incarnation holds but whose job has been dropped after expiry.
	private void routeToForgotten(Waiter waiter) {
		if (waiter.submission().expiryNanos() > this.now) {
			this.replies.broken("the job of held key " + waiter.submission().key() + " was dropped before its expiry");
		}
		this.replies.refuse(waiter, Outcome.UNKNOWN, ErrorKind.EXPIRED, "the submission has expired");
	}

	private void claim(Waiter waiter, int generation) {
		Submission submission = waiter.submission();
		if (!isAcceptable(waiter)) {
			return;
		}
		boolean unavailable = !this.claims.isHistoryEnough(this.now);
		if (submission.isIdempotent() && (unavailable || this.appender.isFailing())) {
			runWithoutClaim(waiter);
			return;
		}
		if (unavailable) {
			this.replies.refuseLater(waiter, ErrorKind.HISTORY_UNAVAILABLE,
					"this host has not read enough of the claims to rule out an earlier start");
			return;
		}
		if (this.claims.size() >= this.settings.maxClaims()) {
			this.replies.refuseLater(waiter, ErrorKind.OVERLOADED,
					"this data centre holds too many claims; tickets need none");
			return;
		}
		if (this.replies.claimWaits().size() >= this.settings.maxPendingClaims()) {
			this.replies.refuseLater(waiter, ErrorKind.OVERLOADED, "too many submissions wait for their claims");
			return;
		}
		Job job = new Job(submission, Job.Right.CLAIM, Job.State.PENDING, generation, keepUntil(submission));
		this.jobs.add(job);
		awaitClaim(job, waiter);
	}

	private void awaitClaim(Job job, Waiter waiter) {
		job.waiters.add(waiter);
		this.replies.claimWaits().add(new ClaimWait(this.now + this.settings.claimWaitNanos(), job, waiter));
		if (!job.claimStored && !this.appender.contains(job.key)) {
			this.appender.add(new Claim(job.key, job.fingerprint, this.self, job.expiryNanos, job.generation),
					this.now);
		}
	}

	// Starts an idempotent job while the claims cannot be consulted.
	private void runWithoutClaim(Waiter waiter) {
		Submission submission = waiter.submission();
		Job job = new Job(submission, Job.Right.IDEMPOTENCE, Job.State.HELD, 0, keepUntil(submission));
		this.jobs.add(job);
		startHeld(job, waiter);
	}

	private void startPendingWithoutClaim(Job job) {
		this.appender.remove(job.key);
		job.right = Job.Right.IDEMPOTENCE;
		job.state = Job.State.HELD;
		this.runner.start(job, this.now);
	}

	private void attach(Job job, Waiter waiter) {
		if (job.fingerprint != waiter.submission().fingerprint()) {
			boolean unstarted = job.state == Job.State.HELD && job.isExclusive();
			this.replies.refuse(waiter, unstarted ? Outcome.NOT_RUN : Outcome.UNKNOWN, ErrorKind.KEY_REUSED,
					"the key was used with another body or expiry");
			return;
		}
		switch (job.state) {
			case PENDING -> attachToPending(job, waiter);
			case HELD -> startHeld(job, waiter);
			case RUNNING -> this.runner.attachToRunning(job, waiter);
			case DONE -> this.runner.tell(job, waiter.request(), this.runner.finalAnswer(job));
		}
	}

	private void attachToPending(Job job, Waiter waiter) {
		if (job.cancelled) {
			this.replies.refuse(waiter, ErrorKind.CANCELLED, "the job was cancelled");
		}
		else if (job.expiryNanos <= this.now) {
			this.replies.refuse(waiter, ErrorKind.EXPIRED, "the submission has expired");
		}
		else if (!job.unproved) {
			awaitClaim(job, waiter);
		}
		else if (job.idempotent) {
			job.waiters.add(waiter);
			startPendingWithoutClaim(job);
		}
		else {
			this.replies.refuseLater(waiter, ErrorKind.HISTORY_UNAVAILABLE,
					"records of the claims were trimmed before this host had read them");
		}
	}

	private void startHeld(Job job, Waiter waiter) {
		DispatchException impossible = this.check.whyImpossible(waiter.submission());
		if (job.expiryNanos <= this.now) {
			this.replies.refuse(waiter, job.refusalOutcome(waiter), ErrorKind.EXPIRED, "the submission has expired");
		}
		else if (impossible != null) {
			this.replies.reply(waiter.request(), Answer.error(job.refusalOutcome(waiter), impossible.kind(),
					impossible.getMessage(), impossible.retryAfterNanos(), List.of()));
		}
		else if (isFull()) {
			this.replies.refuseFull(waiter, job.refusalOutcome(waiter));
		}
		else {
			job.waiters.add(waiter);
			this.runner.start(job, this.now);
		}
	}

	/**
	 * Reports that an append was stored.
	 * @param append the number of the append
	 * @param nowNanos the present time
	 */
	public void claimsAppended(long append, long nowNanos) {
		advance(nowNanos);
		for (Claim claim : this.appender.succeeded(append)) {
			Job job = this.jobs.find(claim.key());
			if (job != null && job.state == Job.State.PENDING) {
				job.claimStored = true;
				if (!this.rules.needsReadBack()) {
					claimWon(job);
				}
			}
		}
	}

	/**
	 * Reports that an append failed or that its answer was lost.
	 * @param append the number of the append
	 * @param nowNanos the present time
	 */
	public void appendFailed(long append, long nowNanos) {
		advance(nowNanos);
		this.appender.failed(append, this.now, this::isWanted);
	}

	private boolean isWanted(Claim claim) {
		Job job = this.jobs.find(claim.key());
		return job != null && job.state == Job.State.PENDING && !job.unproved && !job.claimStored
				&& (job.cancelled || !job.waiters.isEmpty());
	}

	/**
	 * Takes the answer to a read of the claims stream.
	 * @param records the records in offset order, possibly empty
	 * @param firstRetainedOffset the smallest offset that the platform still keeps
	 * @param endOffset the offset that the next appended record will get
	 * @param nowNanos the present time
	 */
	public void claimsRead(List<ClaimRecord> records, long firstRetainedOffset, long endOffset, long nowNanos) {
		advance(nowNanos);
		if (this.claims.beginRead(records, firstRetainedOffset, endOffset, this.now)) {
			giveUpPending();
		}
		for (ClaimRecord record : records) {
			if (this.claims.apply(record)) {
				record.claims().forEach((claim) -> decidePending(claim.key()));
			}
		}
	}

	// Claims in a gap may have come before those of the jobs that wait.
	private void giveUpPending() {
		for (Job job : List.copyOf(this.jobs.all())) {
			if (job.state == Job.State.PENDING) {
				giveUp(job);
			}
		}
	}

	private void giveUp(Job job) {
		job.unproved = true;
		if (job.idempotent && !job.cancelled && !job.waiters.isEmpty() && job.expiryNanos > this.now) {
			startPendingWithoutClaim(job);
			return;
		}
		for (Waiter waiter : this.replies.takeWaiters(job)) {
			this.replies.refuseLater(waiter, ErrorKind.HISTORY_UNAVAILABLE,
					"records of the claims were trimmed before this host had read them");
		}
	}

	private void decidePending(KeyHash key) {
		Job job = this.jobs.find(key);
		if (job == null || job.right != Job.Right.CLAIM) {
			return;
		}
		Claim winner = this.claims.find(key);
		boolean own = this.claims.isHeldBy(key, this.self, job.generation, job.fingerprint);
		if (job.state == Job.State.HELD && !own) {
			this.jobs.remove(job);
		}
		if (job.state != Job.State.PENDING || job.unproved) {
			return;
		}
		if (!own) {
			if (winner != null && winner.generation() >= job.generation) {
				claimLost(job);
			}
		}
		else if (this.claims.isHistoryEnough(this.now)) {
			claimWon(job);
		}
		else {
			giveUp(job);
		}
	}

	private void claimWon(Job job) {
		this.appender.remove(job.key);
		job.state = Job.State.HELD;
		if (job.cancelled) {
			this.runner.finishCancelled(job, this.now);
		}
		else if (job.expiryNanos <= this.now) {
			for (Waiter waiter : this.replies.takeWaiters(job)) {
				this.replies.refuse(waiter, job.refusalOutcome(waiter), ErrorKind.EXPIRED,
						"the submission has expired");
			}
		}
		else if (!job.waiters.isEmpty()) {
			this.runner.start(job, this.now);
		}
	}

	private void claimLost(Job job) {
		this.appender.remove(job.key);
		this.jobs.remove(job);
		for (Waiter waiter : this.replies.takeWaiters(job)) {
			route(waiter.withoutProof());
		}
	}

	/**
	 * Reports the end of a task. Reports of unknown or ended tasks are dropped.
	 * @param number the number of the job
	 * @param index the position of the task in the submission
	 * @param result how it ended, not null
	 * @param nowNanos the present time
	 */
	public void taskEnded(long number, int index, TaskResult result, long nowNanos) {
		advance(nowNanos);
		if (!this.runner.taskEnded(number, index, result, this.now)) {
			this.droppedEvents++;
		}
	}

	/**
	 * Cancels a submission in O(1) for each task. A job that has started is answered when
	 * its tasks have ended.
	 * @param request the number of the request, not used before
	 * @param caller the caller, not null
	 * @param key the caller's key, not null
	 * @param hops the number of hosts that have passed the request on, 0 from a caller
	 * @param nowNanos the present time
	 */
	public void cancel(long request, CallerId caller, SubmissionKey key, int hops, long nowNanos) {
		advance(nowNanos);
		this.replies.requests().open(request, 0);
		Waiter waiter = new Waiter(request, null, hops, false);
		Job job = this.jobs.find(KeyHash.of(caller, key));
		if (job == null) {
			lookUp(waiter, new PeerRequest.Cancel(caller, key, hops + 1));
			return;
		}
		switch (job.state) {
			case PENDING -> cancelPending(job, waiter);
			case HELD -> {
				job.cancelled = true;
				job.waiters.add(waiter);
				this.runner.finishCancelled(job, this.now);
			}
			case RUNNING -> {
				job.cancelled = true;
				job.waiters.add(waiter);
				if (!job.failing) {
					this.runner.cancelOpenTasks(job);
				}
			}
			case DONE -> this.runner.tell(job, request, this.runner.finalAnswer(job));
		}
	}

	// The claim is still appended, so that the cancellation holds at every host.
	private void cancelPending(Job job, Waiter canceller) {
		job.cancelled = true;
		for (Waiter waiter : this.replies.takeWaiters(job)) {
			this.replies.refuse(waiter, ErrorKind.CANCELLED, "the job was cancelled before it started");
		}
		this.replies.refuse(canceller, ErrorKind.CANCELLED, "the job is cancelled unless another host has started it");
	}

	/**
	 * Asks for the state of a submission.
	 * @param request the number of the request, not used before
	 * @param caller the caller, not null
	 * @param key the caller's key, not null
	 * @param hops the number of hosts that have passed the request on, 0 from a caller
	 * @param nowNanos the present time
	 */
	public void query(long request, CallerId caller, SubmissionKey key, int hops, long nowNanos) {
		advance(nowNanos);
		this.replies.requests().open(request, 0);
		Job job = this.jobs.find(KeyHash.of(caller, key));
		if (job == null) {
			lookUp(new Waiter(request, null, hops, false), new PeerRequest.Query(caller, key, hops + 1));
			return;
		}
		switch (job.state) {
			case RUNNING -> this.replies.reply(request, Answer.accepted(JobRunner.COLLECT + key));
			case PENDING -> this.replies.reply(request, Answer.refusal(Outcome.UNKNOWN, ErrorKind.UNKNOWN_SUBMISSION,
					"the job waits for its claim and has not been started here", 0));
			case HELD ->
				this.runner.tell(job, request, Answer.refusal(job.isExclusive() ? Outcome.NOT_RUN : Outcome.UNKNOWN,
						ErrorKind.UNKNOWN_SUBMISSION, "the job has not been started", 0));
			case DONE -> this.runner.tell(job, request, this.runner.finalAnswer(job));
		}
	}

	// Finds the host that knows a submission for a query or a cancellation.
	private void lookUp(Waiter waiter, PeerRequest message) {
		if (Ticket.isTicket(message.key())) {
			Ticket ticket = this.tickets.check(message.caller(), message.key());
			lookUpAt((ticket != null) ? ticket.issuer() : null, waiter, message);
			return;
		}
		KeyHash key = KeyHash.of(message.caller(), message.key());
		DataCentreId home = this.dataCentres.homeOf(key);
		if (home.equals(this.dataCentres.own())) {
			Claim claim = this.claims.find(key);
			lookUpAt((claim != null) ? claim.holder() : null, waiter, message);
		}
		else if (waiter.hops() > 0) {
			this.replies.refuse(waiter, ErrorKind.UNKNOWN_SUBMISSION, "this host does not know the submission");
		}
		else {
			addRelay(waiter, null, home);
			this.replies.emit(new SubmissionEffect.ForwardToDataCentre(waiter.request(), home, message));
		}
	}

	private void lookUpAt(Incarnation holder, Waiter waiter, PeerRequest message) {
		if (holder == null || holder.equals(this.self) || waiter.hops() >= MAX_HOPS) {
			this.replies.refuse(waiter, ErrorKind.UNKNOWN_SUBMISSION, "this host does not know the submission");
		}
		else if (this.dead.contains(holder)) {
			this.replies.refuse(waiter, ErrorKind.HOLDER_LOST, "the holder " + holder + " has ended");
		}
		else {
			addRelay(waiter, holder, null);
			this.replies.emit(new SubmissionEffect.ForwardToHost(waiter.request(), holder, message));
		}
	}

	private void forward(Waiter waiter, Incarnation target) {
		if (waiter.hops() >= MAX_HOPS) {
			this.replies.refuseLater(waiter, ErrorKind.HOLDER_UNREACHABLE, "the hosts disagree about the holder");
			return;
		}
		addRelay(waiter, target, null);
		this.replies.emit(new SubmissionEffect.ForwardToHost(waiter.request(), target,
				new PeerRequest.Submit(waiter.submission(), waiter.hops() + 1)));
	}

	private void addRelay(Waiter waiter, Incarnation target, DataCentreId home) {
		long deadline = this.now + this.settings.claimWaitNanos();
		if (waiter.submission() != null) {
			deadline = Math.max(deadline, waiter.submission().expiryNanos() + this.settings.skewNanos());
		}
		this.relays.add(new Relay(waiter, target, home, deadline));
	}

	private Relay removeRelay(long request) {
		Relay relay = this.relays.remove(request);
		if (relay == null) {
			this.droppedEvents++;
		}
		return relay;
	}

	/**
	 * Takes the answer of a peer. Late answers are dropped.
	 * @param request the number of the request that was passed on
	 * @param answer the answer, not null
	 * @param nowNanos the present time
	 */
	public void peerReplied(long request, Answer answer, long nowNanos) {
		advance(nowNanos);
		if (removeRelay(request) != null) {
			this.replies.reply(request, answer);
		}
	}

	/**
	 * Reports that a request to a peer failed.
	 * @param request the number of the request that was passed on
	 * @param sent false only if certainly no byte of it was sent
	 * @param nowNanos the present time
	 */
	public void peerFailed(long request, boolean sent, long nowNanos) {
		advance(nowNanos);
		Relay relay = removeRelay(request);
		if (relay != null) {
			failRelay(relay, sent);
		}
	}

	private void failRelay(Relay relay, boolean sent) {
		Waiter waiter = sent ? relay.waiter().withoutProof() : relay.waiter();
		if (relay.target() != null) {
			this.replies.refuseLater(waiter, ErrorKind.HOLDER_UNREACHABLE,
					"the holder " + relay.target() + " does not answer");
			return;
		}
		if (waiter.isCancellation() || !waiter.submission().isIdempotent()
				|| waiter.submission().expiryNanos() <= this.now) {
			this.replies.refuseLater(waiter, ErrorKind.HISTORY_UNAVAILABLE,
					"the home data centre " + relay.home() + " of the key does not answer");
			return;
		}
		Job job = this.jobs.find(waiter.submission().keyHash());
		if (job != null) {
			attach(job, waiter);
		}
		else {
			runWithoutClaim(waiter);
		}
	}

	/**
	 * Reports that an incarnation is alive. Earlier incarnations of its host are dead.
	 * @param incarnation the incarnation, not null
	 * @param nowNanos the present time
	 */
	public void incarnationAlive(Incarnation incarnation, long nowNanos) {
		advance(nowNanos);
		if (this.dead.alive(incarnation)) {
			rerouteRelaysToDead();
		}
	}

	/**
	 * Reports that an incarnation is dead. This changes answers only; it never allows a
	 * second start of a job that is not idempotent.
	 * @param incarnation the incarnation, not null
	 * @param nowNanos the present time
	 */
	public void incarnationDead(Incarnation incarnation, long nowNanos) {
		advance(nowNanos);
		this.dead.dead(incarnation);
		rerouteRelaysToDead();
	}

	private void rerouteRelaysToDead() {
		for (Relay relay : this.relays.removeTo(this.dead::contains)) {
			if (relay.waiter().isCancellation()) {
				this.replies.refuse(relay.waiter(), ErrorKind.HOLDER_LOST,
						"the holder " + relay.target() + " has ended");
			}
			else {
				route(relay.waiter().withoutProof());
			}
		}
	}

	/**
	 * Forgets a request whose caller has gone away. It is not answered, and a job that
	 * waits for its claim on behalf of this request alone is not started.
	 * @param request the number of the request
	 * @param nowNanos the present time
	 */
	public void abandon(long request, long nowNanos) {
		advance(nowNanos);
		if (!this.replies.requests().close(request)) {
			return;
		}
		if (this.relays.remove(request) != null) {
			return;
		}
		ClaimWait wait = this.replies.claimWaits().remove(request);
		if (wait != null) {
			wait.job().waiters.remove(wait.waiter());
		}
	}

	/**
	 * Stops accepting jobs that are not known here, because the host is leaving. Jobs
	 * that it holds go on. The host can end without withholding an answer once no task
	 * runs, no request is open and {@link SubmissionCounts#uncollectedJobs} is 0; after
	 * its end the answer to these jobs is unknown for good.
	 */
	public void drain() {
		this.draining = true;
	}

	/**
	 * Issues a block of tickets.
	 * @param caller the caller that may use them, not null
	 * @param count the number, 1 to 1000
	 * @param nowNanos the present time
	 * @return the tickets, valid for the furthest expiry that is accepted, not null
	 * @throws DispatchException if the number is out of range or the host is leaving
	 */
	public List<Ticket> issueTickets(CallerId caller, int count, long nowNanos) {
		advance(nowNanos);
		if (this.draining) {
			throw DispatchException.of(ErrorKind.SHUTTING_DOWN, Outcome.NOT_RUN, "this host is leaving");
		}
		return this.tickets.issue(caller, count, this.now + this.settings.maxExpiryAheadNanos());
	}

	/**
	 * Emits the effects that are due.
	 * @param nowNanos the present time
	 * @param consumer takes each effect, not null
	 */
	public void tick(long nowNanos, Consumer<? super SubmissionEffect> consumer) {
		advance(nowNanos);
		this.jobs.expire(this.now);
		endClaimWaits();
		endRelays();
		appendClaims();
		this.replies.emitTo(consumer);
	}

	private void endClaimWaits() {
		ClaimWait wait = this.replies.claimWaits().removeDue(this.now);
		for (; wait != null; wait = this.replies.claimWaits().removeDue(this.now)) {
			Job job = wait.job();
			if (job.state != Job.State.PENDING || !job.waiters.contains(wait.waiter())) {
				continue;
			}
			if (job.idempotent && job.expiryNanos > this.now) {
				startPendingWithoutClaim(job);
				continue;
			}
			job.waiters.remove(wait.waiter());
			this.replies.refuseLater(wait.waiter(), ErrorKind.HISTORY_UNAVAILABLE,
					"the claim could not be confirmed in time");
			forgetUnsent(job);
		}
	}

	private void forgetUnsent(Job job) {
		if (job.waiters.isEmpty() && !job.cancelled && !job.claimSent) {
			this.appender.remove(job.key);
			this.jobs.remove(job);
		}
	}

	private void endRelays() {
		Relay relay = this.relays.removeDue(this.now);
		for (; relay != null; relay = this.relays.removeDue(this.now)) {
			failRelay(relay, true);
		}
	}

	private void appendClaims() {
		boolean quiet = this.claims.streamNanos() + this.settings.markerIntervalNanos() < this.now;
		if (quiet && this.claims.isHistoryEnough(this.now)) {
			this.appender.wantMarker();
		}
		SubmissionEffect.AppendClaims append = this.appender.next(this.now, this::isWanted);
		if (append != null) {
			append.claims().forEach((claim) -> {
				Job job = this.jobs.find(claim.key());
				if (job != null) {
					job.claimSent = true;
				}
			});
			this.replies.emit(append);
		}
	}

	/**
	 * Returns when the next tick is due if nothing else happens.
	 * @return the time, {@link Long#MAX_VALUE} for none
	 */
	public long nextWakeNanos() {
		if (this.replies.hasEffects()) {
			return this.now;
		}
		long wake = this.appender.nextWakeNanos();
		wake = Math.min(wake, this.replies.claimWaits().nextDeadlineNanos());
		wake = Math.min(wake, this.relays.nextDeadlineNanos());
		return wake;
	}

	/**
	 * Returns the offset of the claims stream from which to read next.
	 * @return the offset
	 */
	public long nextClaimOffset() {
		return this.claims.nextOffset();
	}

	/**
	 * Returns the size of the state, for metrics.
	 * @return the counts, not null
	 */
	public SubmissionCounts counts() {
		return new SubmissionCounts(this.claims.size(), this.jobs.size(), this.jobs.runningCount(),
				this.jobs.keptBytes(), this.replies.requests().bytes() + this.jobs.runningBytes(), this.relays.size(),
				this.replies.requests().size(), this.replies.brokenInvariants(), this.droppedEvents,
				this.jobs.uncollectedCount());
	}

	private boolean isAcceptable(Waiter waiter) {
		Submission submission = waiter.submission();
		// A peer has applied the limits on the expiry; its clock may be ahead.
		long tolerance = (waiter.hops() > 0) ? this.settings.skewNanos() : 0;
		long ahead = submission.expiryNanos() - this.now;
		if (ahead <= 0 || (waiter.hops() == 0 && ahead < this.settings.minExpiryAheadNanos())) {
			this.replies.refuse(waiter, ErrorKind.EXPIRED, "the expiry is not at least "
					+ TimeUnit.NANOSECONDS.toMillis(this.settings.minExpiryAheadNanos()) + " ms ahead");
			return false;
		}
		if (ahead > this.settings.maxExpiryAheadNanos() + tolerance) {
			this.replies.refuse(waiter, ErrorKind.EXPIRY_TOO_FAR, "the expiry is more than "
					+ TimeUnit.NANOSECONDS.toSeconds(this.settings.maxExpiryAheadNanos()) + " s ahead");
			return false;
		}
		if (this.draining) {
			this.replies.refuseLater(waiter, ErrorKind.SHUTTING_DOWN, "this host is leaving");
			return false;
		}
		if (isFull()) {
			this.replies.refuseFull(waiter, Replies.outcomeOfRefusal(waiter));
			return false;
		}
		DispatchException impossible = this.check.whyImpossible(submission);
		if (impossible != null) {
			this.replies.reply(waiter.request(), Answer.error(Replies.outcomeOfRefusal(waiter), impossible.kind(),
					impossible.getMessage(), impossible.retryAfterNanos(), List.of()));
			return false;
		}
		return true;
	}

	private boolean isFull() {
		return this.replies.requests().bytes() + this.jobs.runningBytes() > this.settings.maxOpenBytes();
	}

	private long keepUntil(Submission submission) {
		return submission.expiryNanos() + this.settings.skewNanos();
	}

	private void advance(long nowNanos) {
		this.now = Math.max(this.now, nowNanos);
	}

}
