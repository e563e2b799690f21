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
import org.limpetgate.submission.ForwardedRequests.ForwardedRequest;

/**
 * Decides which submissions this entry host starts, and replies to their callers.
 * <p>
 * No task of a job starts twice unless all tasks of the job are idempotent. Any other job
 * starts only if this incarnation holds the first claim of its key and has read it back
 * from the claims stream, or if its key is a ticket that it issued. A refusal has the
 * outcome "not run" only if this host holds the key exclusively and has not started the
 * job, or if the caller declared a first attempt and the request was not forwarded. The
 * reply to a job is sent when every task has ended.
 * <p>
 * The system does no I/O. The entry host reports events with non-decreasing times and
 * executes the effects that {@link #tick} emits. A single reader reads the claims stream
 * sequentially from {@link #nextClaimOffset}; the first read must return immediately even
 * if the stream is empty, because no claim is appended before it. Request numbers must be
 * unique. Not thread-safe: confined to the control thread.
 */
public final class SubmissionSystem {

	/**
	 * The host that the caller reached forwards to the home data centre, which forwards
	 * to the holder; one more hop allows for an outdated view of the holder.
	 */
	private static final int MAX_HOPS = 3;

	private final Incarnation self;

	private final DataCentres dataCentres;

	private final SubmissionSettings settings;

	private final TicketAuthority tickets;

	private final JobFeasibility feasibility;

	private final SubmissionRules rules;

	private final ClaimTable claims;

	private final JobTable jobs;

	private final ClaimAppender appender;

	private final Replies replies;

	private final JobRunner runner;

	private final ForwardedRequests forwardedRequests = new ForwardedRequests();

	private final DeadIncarnations deadIncarnations;

	private long now;

	private boolean draining;

	private long droppedEvents;

	/**
	 * Creates a system without claims and jobs.
	 * @param self this incarnation, not null
	 * @param dataCentres the configured data centres, not null
	 * @param settings the settings, not null
	 * @param tickets issues and verifies tickets, not null
	 * @param feasibility detects jobs that can never run, not null
	 * @param random adds jitter to the retry delays, not null
	 */
	public SubmissionSystem(Incarnation self, DataCentres dataCentres, SubmissionSettings settings,
			TicketAuthority tickets, JobFeasibility feasibility, RandomGenerator random) {
		this(self, dataCentres, settings, tickets, feasibility, random, new SubmissionRules());
	}

	SubmissionSystem(Incarnation self, DataCentres dataCentres, SubmissionSettings settings, TicketAuthority tickets,
			JobFeasibility feasibility, RandomGenerator random, SubmissionRules rules) {
		this.self = self;
		this.dataCentres = dataCentres;
		this.settings = settings;
		this.tickets = tickets;
		this.feasibility = feasibility;
		this.rules = rules;
		this.claims = new ClaimTable(settings, rules);
		this.jobs = new JobTable(settings);
		this.appender = new ClaimAppender(settings);
		this.deadIncarnations = new DeadIncarnations(self);
		this.replies = new Replies(random);
		this.runner = new JobRunner(self, this.claims, this.jobs, rules, this.replies);
	}

	/**
	 * Accepts or refuses a submission from a caller or a peer.
	 * @param request the number of the request, unique
	 * @param submission the submission, not null
	 * @param hops the number of hosts that have forwarded it, 0 if it comes from a caller
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
	 */
	public void submit(long request, Submission submission, int hops, long nowNanos) {
		advance(nowNanos);
		this.replies.openRequests().open(request, submission.sizeBytes());
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
		else if (!this.dataCentres.homeOf(submission.keyHash()).equals(this.dataCentres.local())) {
			forwardToHome(waiter);
		}
		else {
			routeByClaim(waiter);
		}
	}

	private void routeTicket(Waiter waiter) {
		Submission submission = waiter.submission();
		Ticket ticket = this.tickets.verify(submission.caller(), submission.key());
		if (ticket == null) {
			// The ticket may be signed with a secret that this host lacks, and its
			// issuer may have started the job.
			this.replies.refuse(waiter, ErrorKind.INVALID_TICKET, "the ticket is not valid for this caller");
		}
		else if (this.deadIncarnations.contains(ticket.issuer())) {
			this.replies.refuse(waiter, Outcome.UNKNOWN, ErrorKind.HOLDER_LOST,
					"the issuer " + ticket.issuer() + " of the ticket has terminated");
		}
		else if (!ticket.issuer().equals(this.self)) {
			forward(waiter, ticket.issuer());
		}
		else if (ticket.expiryNanos() <= this.now) {
			this.replies.refuse(waiter, ErrorKind.EXPIRED, "the ticket has expired");
		}
		else if (isAcceptable(waiter)) {
			long retainUntilNanos = Math.max(ticket.expiryNanos(), retainUntilNanos(submission));
			Job job = new Job(submission, Job.StartPermission.TICKET, Job.State.HELD, 0, retainUntilNanos);
			job.ticket = ticket;
			this.jobs.add(job);
			startHeld(job, waiter);
		}
	}

	private void forwardToHome(Waiter waiter) {
		DataCentreId home = this.dataCentres.homeOf(waiter.submission().keyHash());
		if (waiter.hops() > 0) {
			this.replies.refuseWithRetryAfter(waiter, ErrorKind.HISTORY_UNAVAILABLE,
					"the hosts have different home data centres for the key; check their data centre settings");
		}
		else if (isAcceptable(waiter)) {
			addForwarded(waiter, null, home);
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
					"the key was already used with another body or expiry");
		}
		else if (claim.holder().equals(this.self)) {
			refuseExpiredKey(waiter);
		}
		else if (!this.deadIncarnations.contains(claim.holder())) {
			forward(waiter.withoutNotRunProof(), claim.holder());
		}
		else if (submission.isIdempotent()) {
			claim(waiter.withoutNotRunProof(), claim.generation() + 1);
		}
		else {
			this.replies.refuse(waiter, Outcome.UNKNOWN, ErrorKind.HOLDER_LOST,
					"the holder " + claim.holder() + " has terminated");
		}
	}

	// This incarnation holds the claim, but has removed the job after its expiry.
	private void refuseExpiredKey(Waiter waiter) {
		if (waiter.submission().expiryNanos() > this.now) {
			this.replies.reportBrokenInvariant("the job of key " + waiter.submission().key()
					+ ", which this host holds, was removed before its expiry");
		}
		this.replies.refuse(waiter, Outcome.UNKNOWN, ErrorKind.EXPIRED, "the submission has expired");
	}

	private void claim(Waiter waiter, int generation) {
		Submission submission = waiter.submission();
		if (!isAcceptable(waiter)) {
			return;
		}
		boolean unavailable = !this.claims.isHistorySufficient(this.now);
		if (submission.isIdempotent() && (unavailable || this.appender.isFailing())) {
			startWithoutClaim(waiter);
			return;
		}
		if (unavailable) {
			this.replies.refuseWithRetryAfter(waiter, ErrorKind.HISTORY_UNAVAILABLE,
					"this host has not read enough of the claims stream to rule out an earlier start");
			return;
		}
		if (this.claims.size() >= this.settings.maxClaims()) {
			this.replies.refuseWithRetryAfter(waiter, ErrorKind.OVERLOADED,
					"this data centre has too many claims in memory; tickets need no claim");
			return;
		}
		if (this.replies.claimWaits().size() >= this.settings.maxPendingClaims()) {
			this.replies.refuseWithRetryAfter(waiter, ErrorKind.OVERLOADED,
					"too many submissions are waiting for their claims");
			return;
		}
		Job job = new Job(submission, Job.StartPermission.CLAIM, Job.State.PENDING, generation,
				retainUntilNanos(submission));
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

	// Starts an idempotent job while the claims stream is unavailable.
	private void startWithoutClaim(Waiter waiter) {
		Submission submission = waiter.submission();
		Job job = new Job(submission, Job.StartPermission.IDEMPOTENCE, Job.State.HELD, 0, retainUntilNanos(submission));
		this.jobs.add(job);
		startHeld(job, waiter);
	}

	private void startPendingWithoutClaim(Job job) {
		this.appender.remove(job.key);
		job.permission = Job.StartPermission.IDEMPOTENCE;
		job.state = Job.State.HELD;
		this.runner.start(job, this.now);
	}

	private void attach(Job job, Waiter waiter) {
		if (job.fingerprint != waiter.submission().fingerprint()) {
			boolean provablyUnstarted = job.state == Job.State.HELD && job.isExclusive();
			this.replies.refuse(waiter, provablyUnstarted ? Outcome.NOT_RUN : Outcome.UNKNOWN, ErrorKind.KEY_REUSED,
					"the key was already used with another body or expiry");
			return;
		}
		switch (job.state) {
			case PENDING -> attachToPending(job, waiter);
			case HELD -> startHeld(job, waiter);
			case RUNNING -> this.runner.attachToRunning(job, waiter);
			case DONE -> this.runner.deliver(job, waiter.request(), this.runner.finalAnswer(job));
		}
	}

	private void attachToPending(Job job, Waiter waiter) {
		if (job.cancelled) {
			this.replies.refuse(waiter, ErrorKind.CANCELLED, "the job was cancelled");
		}
		else if (job.expiryNanos <= this.now) {
			this.replies.refuse(waiter, ErrorKind.EXPIRED, "the submission has expired");
		}
		else if (!job.mayHaveMissedClaim) {
			awaitClaim(job, waiter);
		}
		else if (job.idempotent) {
			job.waiters.add(waiter);
			startPendingWithoutClaim(job);
		}
		else {
			this.replies.refuseWithRetryAfter(waiter, ErrorKind.HISTORY_UNAVAILABLE,
					"records of the claims stream were trimmed before this host had read them");
		}
	}

	private void startHeld(Job job, Waiter waiter) {
		DispatchException infeasibility = this.feasibility.infeasibilityReason(waiter.submission());
		if (job.expiryNanos <= this.now) {
			this.replies.refuse(waiter, job.refusalOutcome(waiter), ErrorKind.EXPIRED, "the submission has expired");
		}
		else if (infeasibility != null) {
			this.replies.reply(waiter.request(), Answer.error(job.refusalOutcome(waiter), infeasibility.kind(),
					infeasibility.getMessage(), infeasibility.retryAfterNanos(), List.of()));
		}
		else if (isMemoryExhausted()) {
			this.replies.refuseOverloaded(waiter, job.refusalOutcome(waiter));
		}
		else {
			job.waiters.add(waiter);
			this.runner.start(job, this.now);
		}
	}

	/**
	 * Reports that the platform confirmed an append.
	 * @param append the number of the append
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
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
	 * Reports that an append failed or that its response was lost.
	 * @param append the number of the append
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
	 */
	public void appendFailed(long append, long nowNanos) {
		advance(nowNanos);
		this.appender.failed(append, this.now, this::isStillNeeded);
	}

	private boolean isStillNeeded(Claim claim) {
		Job job = this.jobs.find(claim.key());
		return job != null && job.state == Job.State.PENDING && !job.mayHaveMissedClaim && !job.claimStored
				&& (job.cancelled || !job.waiters.isEmpty());
	}

	/**
	 * Processes the response to a read of the claims stream.
	 * @param records the records in offset order, possibly empty
	 * @param firstRetainedOffset the lowest offset that the platform still retains
	 * @param endOffset the offset of the next record to be appended
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
	 */
	public void claimsRead(List<ClaimRecord> records, long firstRetainedOffset, long endOffset, long nowNanos) {
		advance(nowNanos);
		if (this.claims.beginRead(records, firstRetainedOffset, endOffset, this.now)) {
			abandonPendingClaims();
		}
		for (ClaimRecord record : records) {
			if (this.claims.apply(record)) {
				record.claims().forEach((claim) -> resolvePending(claim.key()));
			}
		}
	}

	// The missing records may contain earlier claims on the keys of pending jobs.
	private void abandonPendingClaims() {
		for (Job job : List.copyOf(this.jobs.all())) {
			if (job.state == Job.State.PENDING) {
				abandonClaim(job);
			}
		}
	}

	private void abandonClaim(Job job) {
		job.mayHaveMissedClaim = true;
		if (job.idempotent && !job.cancelled && !job.waiters.isEmpty() && job.expiryNanos > this.now) {
			startPendingWithoutClaim(job);
			return;
		}
		for (Waiter waiter : this.replies.removeWaiters(job)) {
			this.replies.refuseWithRetryAfter(waiter, ErrorKind.HISTORY_UNAVAILABLE,
					"records of the claims stream were trimmed before this host had read them");
		}
	}

	private void resolvePending(KeyHash key) {
		Job job = this.jobs.find(key);
		if (job == null || job.permission != Job.StartPermission.CLAIM) {
			return;
		}
		Claim winner = this.claims.find(key);
		boolean ownClaimIsFirst = this.claims.isHeldBy(key, this.self, job.generation, job.fingerprint);
		if (job.state == Job.State.HELD && !ownClaimIsFirst) {
			this.jobs.remove(job);
		}
		if (job.state != Job.State.PENDING || job.mayHaveMissedClaim) {
			return;
		}
		if (!ownClaimIsFirst) {
			if (winner != null && winner.generation() >= job.generation) {
				claimLost(job);
			}
		}
		else if (this.claims.isHistorySufficient(this.now)) {
			claimWon(job);
		}
		else {
			abandonClaim(job);
		}
	}

	private void claimWon(Job job) {
		this.appender.remove(job.key);
		job.state = Job.State.HELD;
		if (job.cancelled) {
			this.runner.finishCancelled(job, this.now);
		}
		else if (job.expiryNanos <= this.now) {
			for (Waiter waiter : this.replies.removeWaiters(job)) {
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
		for (Waiter waiter : this.replies.removeWaiters(job)) {
			route(waiter.withoutNotRunProof());
		}
	}

	/**
	 * Reports the end of a task. Reports about unknown or ended tasks are ignored.
	 * @param runNumber the number of the run, from {@link SubmissionEffect.StartTasks}
	 * @param index the position of the task in the submission
	 * @param result the result, not null
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
	 */
	public void taskEnded(long runNumber, int index, TaskResult result, long nowNanos) {
		advance(nowNanos);
		if (!this.runner.taskEnded(runNumber, index, result, this.now)) {
			this.droppedEvents++;
		}
	}

	/**
	 * Cancels a submission, in constant time for each task. For a job that has started,
	 * the reply is sent when its tasks have ended.
	 * @param request the number of the request, unique
	 * @param caller the caller, not null
	 * @param key the caller's key, not null
	 * @param hops the number of hosts that have forwarded the request, 0 if it comes from
	 * a caller
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
	 */
	public void cancel(long request, CallerId caller, SubmissionKey key, int hops, long nowNanos) {
		advance(nowNanos);
		this.replies.openRequests().open(request, 0);
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
				if (!job.tasksCancelled) {
					this.runner.cancelOpenTasks(job);
				}
			}
			case DONE -> this.runner.deliver(job, request, this.runner.finalAnswer(job));
		}
	}

	// The claim is still appended: if it is the first, no other host can start the job.
	private void cancelPending(Job job, Waiter canceller) {
		job.cancelled = true;
		for (Waiter waiter : this.replies.removeWaiters(job)) {
			this.replies.refuse(waiter, ErrorKind.CANCELLED, "the job was cancelled before it started");
		}
		this.replies.refuse(canceller, ErrorKind.CANCELLED,
				"the job is cancelled unless another host has already started it");
	}

	/**
	 * Requests the state of a submission.
	 * @param request the number of the request, unique
	 * @param caller the caller, not null
	 * @param key the caller's key, not null
	 * @param hops the number of hosts that have forwarded the request, 0 if it comes from
	 * a caller
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
	 */
	public void query(long request, CallerId caller, SubmissionKey key, int hops, long nowNanos) {
		advance(nowNanos);
		this.replies.openRequests().open(request, 0);
		Job job = this.jobs.find(KeyHash.of(caller, key));
		if (job == null) {
			lookUp(new Waiter(request, null, hops, false), new PeerRequest.Query(caller, key, hops + 1));
			return;
		}
		switch (job.state) {
			case RUNNING -> this.replies.reply(request, Answer.accepted(JobRunner.ACCEPTED_MESSAGE + key));
			case PENDING -> this.replies.reply(request, Answer.refusal(Outcome.UNKNOWN, ErrorKind.UNKNOWN_SUBMISSION,
					"the job is waiting for its claim and has not been started on this host", 0));
			case HELD ->
				this.runner.deliver(job, request, Answer.refusal(job.isExclusive() ? Outcome.NOT_RUN : Outcome.UNKNOWN,
						ErrorKind.UNKNOWN_SUBMISSION, "the job has not been started", 0));
			case DONE -> this.runner.deliver(job, request, this.runner.finalAnswer(job));
		}
	}

	// Forwards a query or cancellation of a job that is not known here to its holder or
	// home.
	private void lookUp(Waiter waiter, PeerRequest message) {
		if (Ticket.isTicket(message.key())) {
			Ticket ticket = this.tickets.verify(message.caller(), message.key());
			forwardToHolder((ticket != null) ? ticket.issuer() : null, waiter, message);
			return;
		}
		KeyHash key = KeyHash.of(message.caller(), message.key());
		DataCentreId home = this.dataCentres.homeOf(key);
		if (home.equals(this.dataCentres.local())) {
			Claim claim = this.claims.find(key);
			forwardToHolder((claim != null) ? claim.holder() : null, waiter, message);
		}
		else if (waiter.hops() > 0) {
			this.replies.refuse(waiter, ErrorKind.UNKNOWN_SUBMISSION, "this host does not know the submission");
		}
		else {
			addForwarded(waiter, null, home);
			this.replies.emit(new SubmissionEffect.ForwardToDataCentre(waiter.request(), home, message));
		}
	}

	private void forwardToHolder(Incarnation holder, Waiter waiter, PeerRequest message) {
		if (holder == null || holder.equals(this.self) || waiter.hops() >= MAX_HOPS) {
			this.replies.refuse(waiter, ErrorKind.UNKNOWN_SUBMISSION, "this host does not know the submission");
		}
		else if (this.deadIncarnations.contains(holder)) {
			this.replies.refuse(waiter, ErrorKind.HOLDER_LOST, "the holder " + holder + " has terminated");
		}
		else {
			addForwarded(waiter, holder, null);
			this.replies.emit(new SubmissionEffect.ForwardToHost(waiter.request(), holder, message));
		}
	}

	private void forward(Waiter waiter, Incarnation target) {
		if (waiter.hops() >= MAX_HOPS) {
			this.replies.refuseWithRetryAfter(waiter, ErrorKind.HOLDER_UNREACHABLE,
					"the request was forwarded too often, because the hosts have different views of the holder");
			return;
		}
		addForwarded(waiter, target, null);
		this.replies.emit(new SubmissionEffect.ForwardToHost(waiter.request(), target,
				new PeerRequest.Submit(waiter.submission(), waiter.hops() + 1)));
	}

	private void addForwarded(Waiter waiter, Incarnation target, DataCentreId home) {
		long deadline = this.now + this.settings.claimWaitNanos();
		if (waiter.submission() != null) {
			deadline = Math.max(deadline, waiter.submission().expiryNanos() + this.settings.skewNanos());
		}
		this.forwardedRequests.add(new ForwardedRequest(waiter, target, home, deadline));
	}

	private ForwardedRequest removeForwarded(long request) {
		ForwardedRequest forwarded = this.forwardedRequests.remove(request);
		if (forwarded == null) {
			this.droppedEvents++;
		}
		return forwarded;
	}

	/**
	 * Processes the reply of a peer. Late replies are ignored.
	 * @param request the number of the forwarded request
	 * @param answer the reply, not null
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
	 */
	public void peerReplied(long request, Answer answer, long nowNanos) {
		advance(nowNanos);
		if (removeForwarded(request) != null) {
			this.replies.reply(request, answer);
		}
	}

	/**
	 * Reports that forwarding a request to a peer failed.
	 * @param request the number of the forwarded request
	 * @param sent false only if it is certain that no byte of it was sent
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
	 */
	public void peerFailed(long request, boolean sent, long nowNanos) {
		advance(nowNanos);
		ForwardedRequest forwarded = removeForwarded(request);
		if (forwarded != null) {
			failForwarded(forwarded, sent);
		}
	}

	private void failForwarded(ForwardedRequest forwarded, boolean sent) {
		Waiter waiter = sent ? forwarded.waiter().withoutNotRunProof() : forwarded.waiter();
		if (forwarded.target() != null) {
			this.replies.refuseWithRetryAfter(waiter, ErrorKind.HOLDER_UNREACHABLE,
					"the holder " + forwarded.target() + " did not respond");
			return;
		}
		if (waiter.isCancellation() || !waiter.submission().isIdempotent()
				|| waiter.submission().expiryNanos() <= this.now) {
			this.replies.refuseWithRetryAfter(waiter, ErrorKind.HISTORY_UNAVAILABLE,
					"the home data centre " + forwarded.home() + " of the key did not respond");
			return;
		}
		Job job = this.jobs.find(waiter.submission().keyHash());
		if (job != null) {
			attach(job, waiter);
		}
		else {
			startWithoutClaim(waiter);
		}
	}

	/**
	 * Reports that an incarnation is alive, which implies that earlier incarnations of
	 * its host are dead.
	 * @param incarnation the incarnation, not null
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
	 */
	public void incarnationAlive(Incarnation incarnation, long nowNanos) {
		advance(nowNanos);
		if (this.deadIncarnations.reportAlive(incarnation)) {
			rerouteForwardedToDead();
		}
	}

	/**
	 * Reports that an incarnation is dead. This only affects replies; it never allows a
	 * second start of a job that is not idempotent.
	 * @param incarnation the incarnation, not null
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
	 */
	public void incarnationDead(Incarnation incarnation, long nowNanos) {
		advance(nowNanos);
		this.deadIncarnations.reportDead(incarnation);
		rerouteForwardedToDead();
	}

	private void rerouteForwardedToDead() {
		for (ForwardedRequest forwarded : this.forwardedRequests.removeByTarget(this.deadIncarnations::contains)) {
			if (forwarded.waiter().isCancellation()) {
				this.replies.refuse(forwarded.waiter(), ErrorKind.HOLDER_LOST,
						"the holder " + forwarded.target() + " has terminated");
			}
			else {
				route(forwarded.waiter().withoutNotRunProof());
			}
		}
	}

	/**
	 * Abandons a request whose caller has disconnected. No reply is sent, and a pending
	 * job without any other request is not started.
	 * @param request the number of the request
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
	 */
	public void abandon(long request, long nowNanos) {
		advance(nowNanos);
		if (!this.replies.openRequests().close(request)) {
			return;
		}
		if (this.forwardedRequests.remove(request) != null) {
			return;
		}
		ClaimWait wait = this.replies.claimWaits().remove(request);
		if (wait != null) {
			wait.job().waiters.remove(wait.waiter());
		}
	}

	/**
	 * Stops accepting new jobs, because the host is leaving. Jobs that this host already
	 * holds continue. The host can terminate without losing a result once no task is
	 * running, no request is open and {@link SubmissionCounts#uncollectedJobs} is 0;
	 * results that have not been collected by then are lost permanently.
	 */
	public void drain() {
		this.draining = true;
	}

	/**
	 * Issues a batch of tickets.
	 * @param caller the caller that may use them, not null
	 * @param count the number, 1 to 1000
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
	 * @return the tickets, valid until the latest expiry that is accepted, not null
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
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
	 * @param effects receives each effect, not null
	 */
	public void tick(long nowNanos, Consumer<? super SubmissionEffect> effects) {
		advance(nowNanos);
		this.jobs.expire(this.now);
		endOverdueClaimWaits();
		failOverdueForwarded();
		appendClaims();
		this.replies.emitTo(effects);
	}

	private void endOverdueClaimWaits() {
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
			this.replies.refuseWithRetryAfter(wait.waiter(), ErrorKind.HISTORY_UNAVAILABLE,
					"the claim could not be read back in time");
			removeUnsent(job);
		}
	}

	private void removeUnsent(Job job) {
		if (job.waiters.isEmpty() && !job.cancelled && !job.claimSent) {
			this.appender.remove(job.key);
			this.jobs.remove(job);
		}
	}

	private void failOverdueForwarded() {
		ForwardedRequest forwarded = this.forwardedRequests.removeDue(this.now);
		for (; forwarded != null; forwarded = this.forwardedRequests.removeDue(this.now)) {
			failForwarded(forwarded, true);
		}
	}

	private void appendClaims() {
		boolean idle = this.claims.latestAppendNanos() + this.settings.markerIntervalNanos() < this.now;
		if (idle && this.claims.isHistorySufficient(this.now)) {
			this.appender.requestMarker();
		}
		SubmissionEffect.AppendClaims append = this.appender.next(this.now, this::isStillNeeded);
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
	 * Returns when the next tick is due if no event is reported before.
	 * @return the time in nanoseconds since the Unix epoch, {@link Long#MAX_VALUE} if no
	 * tick is due
	 */
	public long nextWakeNanos() {
		if (this.replies.hasEffects()) {
			return this.now;
		}
		long wake = this.appender.nextWakeNanos();
		wake = Math.min(wake, this.replies.claimWaits().nextDeadlineNanos());
		wake = Math.min(wake, this.forwardedRequests.nextDeadlineNanos());
		return wake;
	}

	/**
	 * Returns the offset of the claims stream at which the next read starts.
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
				this.jobs.resultBytes(), this.replies.openRequests().bytes() + this.jobs.runningBytes(),
				this.forwardedRequests.size(), this.replies.openRequests().size(), this.replies.brokenInvariants(),
				this.droppedEvents, this.jobs.uncollectedCount());
	}

	private boolean isAcceptable(Waiter waiter) {
		Submission submission = waiter.submission();
		// The forwarding peer has already checked the expiry, by a clock that may be
		// ahead.
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
			this.replies.refuseWithRetryAfter(waiter, ErrorKind.SHUTTING_DOWN, "this host is leaving");
			return false;
		}
		if (isMemoryExhausted()) {
			this.replies.refuseOverloaded(waiter, Replies.refusalOutcome(waiter));
			return false;
		}
		DispatchException infeasibility = this.feasibility.infeasibilityReason(submission);
		if (infeasibility != null) {
			this.replies.reply(waiter.request(), Answer.error(Replies.refusalOutcome(waiter), infeasibility.kind(),
					infeasibility.getMessage(), infeasibility.retryAfterNanos(), List.of()));
			return false;
		}
		return true;
	}

	private boolean isMemoryExhausted() {
		return this.replies.openRequests().bytes() + this.jobs.runningBytes() > this.settings.maxOpenBytes();
	}

	private long retainUntilNanos(Submission submission) {
		return submission.expiryNanos() + this.settings.skewNanos();
	}

	private void advance(long nowNanos) {
		this.now = Math.max(this.now, nowNanos);
	}

}
