package org.limpetgate.submission;

import org.limpetgate.ErrorKind;
import org.limpetgate.Incarnation;
import org.limpetgate.Outcome;

/**
 * Starts or forwards submissions whose keys are tickets.
 * <p>
 * Only the incarnation that issued a ticket starts its job, and only before the ticket
 * expires. Not thread-safe.
 */
final class TicketRouter {

	private final Incarnation self;

	private final SubmissionSettings settings;

	private final TicketAuthority tickets;

	private final JobTable jobs;

	private final DeadIncarnations deadIncarnations;

	private final SubmissionAdmission admission;

	private final JobRunner runner;

	private final RequestForwarder forwarder;

	private final Replies replies;

	TicketRouter(Incarnation self, SubmissionSettings settings, TicketAuthority tickets, JobTable jobs,
			DeadIncarnations deadIncarnations, SubmissionAdmission admission, JobRunner runner,
			RequestForwarder forwarder, Replies replies) {
		this.self = self;
		this.settings = settings;
		this.tickets = tickets;
		this.jobs = jobs;
		this.deadIncarnations = deadIncarnations;
		this.admission = admission;
		this.runner = runner;
		this.forwarder = forwarder;
		this.replies = replies;
	}

	// Routes a submission whose job is not known here.
	void route(Waiter waiter, long nowNanos) {
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
			this.forwarder.submitToHolder(waiter, ticket.issuer(), nowNanos);
		}
		else if (ticket.expiryNanos() <= nowNanos) {
			this.replies.refuse(waiter, ErrorKind.EXPIRED, "the ticket has expired");
		}
		else if (this.admission.admitSubmission(waiter, nowNanos)) {
			Job job = Job.heldByTicket(submission, ticket, this.settings);
			this.jobs.add(job);
			this.runner.startHeld(job, waiter, nowNanos);
		}
	}

}
