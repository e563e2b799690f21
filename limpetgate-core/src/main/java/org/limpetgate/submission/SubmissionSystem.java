package org.limpetgate.submission;

import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.limpetgate.CallerId;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Incarnation;
import org.limpetgate.Outcome;
import org.limpetgate.SubmissionKey;
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

	private final SubmissionSettings settings;

	private final TicketAuthority tickets;

	private final ClaimTable claims;

	private final JobTable jobs;

	private final DeadIncarnations deadIncarnations;

	private final ForwardedRequests forwardedRequests = new ForwardedRequests();

	private final Replies replies;

	private final SubmissionAdmission admission;

	private final JobRunner runner;

	private final JobClaims jobClaims;

	private final JobRequests jobRequests;

	private final RequestForwarder forwarder;

	private final TicketRouter ticketRouter;

	private final ClaimRouter claimRouter;

	private long now;

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
		this.settings = settings;
		this.tickets = tickets;
		this.claims = new ClaimTable(settings, rules);
		this.jobs = new JobTable(settings);
		this.deadIncarnations = new DeadIncarnations(self);
		this.replies = new Replies(random);
		this.admission = new SubmissionAdmission(settings, feasibility, this.jobs, this.replies);
		this.runner = new JobRunner(self, this.claims, this.jobs, rules, this.admission, this.replies);
		this.jobClaims = new JobClaims(self, settings, rules, this.claims, this.jobs, this.runner, this.replies);
		this.jobRequests = new JobRequests(this.jobClaims, this.runner, this.replies);
		this.forwarder = new RequestForwarder(self, dataCentres, settings, tickets, this.claims, this.deadIncarnations,
				this.forwardedRequests, this.replies);
		this.ticketRouter = new TicketRouter(self, settings, tickets, this.jobs, this.deadIncarnations, this.admission,
				this.runner, this.forwarder, this.replies);
		this.claimRouter = new ClaimRouter(self, dataCentres, this.claims, this.deadIncarnations, this.admission,
				this.jobClaims, this.forwarder, this.replies);
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
		return Math.min(this.jobClaims.nextWakeNanos(), this.forwardedRequests.nextDeadlineNanos());
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
			this.jobRequests.attach(job, waiter, this.now);
		}
		else if (Ticket.isTicket(submission.key())) {
			this.ticketRouter.route(waiter, this.now);
		}
		else {
			this.claimRouter.route(waiter, this.now);
		}
	}

	/**
	 * Reports that the platform confirmed an append.
	 * @param append the number of the append
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
	 */
	public void claimsAppended(long append, long nowNanos) {
		advance(nowNanos);
		this.jobClaims.appended(append, this.now);
	}

	/**
	 * Reports that an append failed or that its response was lost.
	 * @param append the number of the append
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
	 */
	public void appendFailed(long append, long nowNanos) {
		advance(nowNanos);
		this.jobClaims.appendFailed(append, this.now);
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
			this.jobClaims.recordsMissed(this.now);
		}
		for (ClaimRecord record : records) {
			if (this.claims.apply(record)) {
				record.claims().forEach((claim) -> this.jobClaims.claimRead(claim.key(), this.now, this::route));
			}
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
		if (job != null) {
			this.jobRequests.cancel(job, waiter, this.now);
		}
		else {
			this.forwarder.lookUp(waiter, new PeerRequest.Cancel(caller, key, hops + 1), this.now);
		}
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
		if (job != null) {
			this.jobRequests.query(job, request, key);
		}
		else {
			Waiter waiter = new Waiter(request, null, hops, false);
			this.forwarder.lookUp(waiter, new PeerRequest.Query(caller, key, hops + 1), this.now);
		}
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

	private ForwardedRequest removeForwarded(long request) {
		ForwardedRequest forwarded = this.forwardedRequests.remove(request);
		if (forwarded == null) {
			this.droppedEvents++;
		}
		return forwarded;
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
			this.jobRequests.attach(job, waiter, this.now);
		}
		else {
			this.jobClaims.startWithoutClaim(waiter, this.now);
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
		if (this.forwardedRequests.remove(request) == null) {
			this.jobClaims.abandon(request);
		}
	}

	/**
	 * Stops accepting new jobs, because the host is leaving. Jobs that this host already
	 * holds continue. The host can terminate without losing a result once no task is
	 * running, no request is open and {@link SubmissionCounts#uncollectedJobs} is 0;
	 * results that have not been collected by then are lost permanently.
	 */
	public void drain() {
		this.admission.drain();
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
		if (this.admission.isDraining()) {
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
		this.jobClaims.endOverdueWaits(this.now);
		failOverdueForwarded();
		this.jobClaims.appendDue(this.now);
		this.replies.emitTo(effects);
	}

	private void failOverdueForwarded() {
		ForwardedRequest forwarded = this.forwardedRequests.removeDue(this.now);
		for (; forwarded != null; forwarded = this.forwardedRequests.removeDue(this.now)) {
			failForwarded(forwarded, true);
		}
	}

	private void advance(long nowNanos) {
		this.now = Math.max(this.now, nowNanos);
	}

}
