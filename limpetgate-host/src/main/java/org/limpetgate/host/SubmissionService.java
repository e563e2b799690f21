package org.limpetgate.host;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import org.limpetgate.CallerId;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Incarnation;
import org.limpetgate.Outcome;
import org.limpetgate.SubmissionKey;
import org.limpetgate.host.submission.AnswerJson;
import org.limpetgate.host.submission.SubmissionJson;
import org.limpetgate.net.http.ErrorReply;
import org.limpetgate.net.http.HeaderNames;
import org.limpetgate.net.http.HttpCall;
import org.limpetgate.net.http.HttpHandler;
import org.limpetgate.net.http.HttpReply;
import org.limpetgate.platform.LogBatch;
import org.limpetgate.platform.LogService;
import org.limpetgate.submission.Answer;
import org.limpetgate.submission.ClaimRecord;
import org.limpetgate.submission.PeerRequest;
import org.limpetgate.submission.SubmissionCounts;
import org.limpetgate.submission.SubmissionEffect;
import org.limpetgate.submission.SubmissionSystem;
import org.limpetgate.submission.Ticket;
import org.limpetgate.wire.ClaimCodec;

/**
 * Serves submissions: connects the {@link SubmissionSystem} with callers, the claims
 * stream, the task runner and the peers.
 * <p>
 * {@link #handle}, {@link #handlePeer} and {@link #counts} are thread-safe; everything
 * else is confined to the control thread.
 */
public final class SubmissionService implements TickedComponent, HttpHandler {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int MAX_RECORDS_PER_READ = 1000;

	private static final Duration READ_WAIT = Duration.ofSeconds(5);

	private static final long READ_RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	private static final String SUBMISSIONS_PATH = "/v1/submissions";

	private static final String TICKETS_PATH = "/v1/tickets";

	private final Incarnation self;

	private final String stream;

	private final SubmissionSystem system;

	private final JobTasks jobs;

	private final LogService log;

	private final PeerRequests peers;

	private final Executor control;

	private final LongSupplier clock;

	private final EventLog events;

	private final Map<Long, CompletableFuture<Answer>> openRequests = new HashMap<>();

	private long lastRequestNumber;

	private volatile SubmissionCounts counts;

	private boolean readInProgress;

	private boolean atEnd;

	private long nextReadNanos;

	private boolean logFailing;

	/**
	 * Creates a service that reads the claims stream from the first tick on.
	 * @param self this incarnation, not null
	 * @param stream the claims stream of this data centre, not null
	 * @param system makes the decisions, not null
	 * @param jobs runs the tasks of jobs, not null
	 * @param log the platform's log, not null
	 * @param peers sends requests to peers, not null
	 * @param control runs messages on the control thread, not null
	 * @param clock returns the current time in nanoseconds since the Unix epoch, not null
	 * @param events receives an event for each decision, not null
	 */
	public SubmissionService(Incarnation self, String stream, SubmissionSystem system, JobTasks jobs, LogService log,
			PeerRequests peers, Executor control, LongSupplier clock, EventLog events) {
		this.self = self;
		this.stream = stream;
		this.system = system;
		this.counts = system.counts();
		this.jobs = jobs;
		this.log = log;
		this.peers = peers;
		this.control = control;
		this.clock = clock;
		this.events = events;
	}

	@Override
	public CompletableFuture<HttpReply> handle(HttpCall call) {
		try {
			CallerId caller = RequestService.caller(call);
			if (call.path().equals(TICKETS_PATH)) {
				return tickets(call, caller);
			}
			CompletableFuture<Answer> answer = process(parseRequest(call, caller));
			CompletableFuture<HttpReply> reply = answer.thenApply(SubmissionService::reply);
			reply.whenComplete((sent, failure) -> {
				if (reply.isCancelled()) {
					answer.cancel(false);
				}
			});
			return reply;
		}
		catch (DispatchException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private static PeerRequest parseRequest(HttpCall call, CallerId caller) {
		if (call.path().equals(SUBMISSIONS_PATH) && call.method().equals("POST")) {
			return new PeerRequest.Submit(SubmissionJson.read(caller, call.body()), 0);
		}
		if (call.path().startsWith(SUBMISSIONS_PATH + "/")) {
			SubmissionKey key = parseKey(call.path().substring(SUBMISSIONS_PATH.length() + 1));
			switch (call.method()) {
				case "GET":
					return new PeerRequest.Query(caller, key, 0);
				case "DELETE":
					return new PeerRequest.Cancel(caller, key, 0);
				default:
					break;
			}
		}
		throw DispatchException.of(ErrorKind.MALFORMED_REQUEST, Outcome.NOT_RUN,
				call.method() + " " + call.path() + " is not a supported operation; use POST " + SUBMISSIONS_PATH
						+ ", GET or DELETE " + SUBMISSIONS_PATH + "/{key}");
	}

	private static SubmissionKey parseKey(String text) {
		try {
			return SubmissionKey.of(text);
		}
		catch (IllegalArgumentException ex) {
			throw DispatchException.of(ErrorKind.INVALID_SUBMISSION, Outcome.NOT_RUN, ex.getMessage());
		}
	}

	/**
	 * Handles a request from a peer.
	 * @param request the request, not null
	 * @return the answer
	 */
	public CompletableFuture<Answer> handlePeer(PeerRequest request) {
		return process(request);
	}

	private CompletableFuture<Answer> process(PeerRequest request) {
		CompletableFuture<Answer> answer = new CompletableFuture<>();
		this.control.execute(() -> process(request, answer));
		return answer;
	}

	private void process(PeerRequest request, CompletableFuture<Answer> answer) {
		long number = ++this.lastRequestNumber;
		long now = this.clock.getAsLong();
		this.openRequests.put(number, answer);
		answer.whenComplete((sent, failure) -> {
			if (answer.isCancelled()) {
				this.control.execute(() -> abandon(number));
			}
		});
		if (request instanceof PeerRequest.Submit submit) {
			this.system.submit(number, submit.submission(), submit.hops(), now);
		}
		else if (request instanceof PeerRequest.Query query) {
			this.system.query(number, query.caller(), query.key(), query.hops(), now);
		}
		else {
			this.system.cancel(number, request.caller(), request.key(), request.hops(), now);
		}
	}

	// The caller has closed its connection; its job continues.
	private void abandon(long number) {
		if (this.openRequests.remove(number) != null) {
			this.system.abandon(number, this.clock.getAsLong());
		}
	}

	private static HttpReply reply(Answer answer) {
		Map<String, String> headers = new HashMap<>();
		headers.put("content-type", "application/json");
		headers.put(HeaderNames.OUTCOME, answer.outcome().text());
		if (answer.retryAfterNanos() > 0) {
			headers.put("retry-after", Long.toString(ErrorReply.retryAfterSeconds(answer.retryAfterNanos())));
		}
		return new HttpReply(answer.httpStatus(), headers, AnswerJson.write(answer));
	}

	private CompletableFuture<HttpReply> tickets(HttpCall call, CallerId caller) {
		int count = ticketCount(call);
		return CompletableFuture
			.supplyAsync(() -> this.system.issueTickets(caller, count, this.clock.getAsLong()), this.control)
			.thenApply(SubmissionService::ticketReply);
	}

	private static int ticketCount(HttpCall call) {
		String prefix = TICKETS_PATH + "?count=";
		if (call.method().equals("POST") && call.target().startsWith(prefix)) {
			try {
				return Integer.parseInt(call.target().substring(prefix.length()));
			}
			catch (NumberFormatException ex) {
				// Rejected below like a missing number.
			}
		}
		throw DispatchException.of(ErrorKind.MALFORMED_REQUEST, Outcome.NOT_RUN,
				"tickets are requested with POST " + prefix + "N");
	}

	private static HttpReply ticketReply(List<Ticket> tickets) {
		ObjectNode body = JsonNodeFactory.instance.objectNode();
		ArrayNode keys = body.putArray("tickets");
		tickets.forEach((ticket) -> keys.add(ticket.toKey().value()));
		Map<String, String> headers = Map.of("content-type", "application/json", HeaderNames.OUTCOME,
				Outcome.COMPLETE.text());
		return new HttpReply(200, headers, body.toString().getBytes(StandardCharsets.UTF_8));
	}

	@Override
	public void tick(long nowNanos) {
		readClaims(nowNanos);
		List<SubmissionEffect> effects = new ArrayList<>();
		this.system.tick(nowNanos, effects::add);
		effects.forEach((effect) -> apply(effect, nowNanos));
		this.counts = this.system.counts();
	}

	@Override
	public long nextWakeNanos() {
		return this.readInProgress ? this.system.nextWakeNanos()
				: Math.min(this.system.nextWakeNanos(), this.nextReadNanos);
	}

	private void readClaims(long nowNanos) {
		if (this.readInProgress || nowNanos < this.nextReadNanos) {
			return;
		}
		this.readInProgress = true;
		// A read waits for records only at the end of the stream. Before that it must not
		// wait, since the host refuses submissions until it has reached the end.
		Duration wait = this.atEnd ? READ_WAIT : Duration.ZERO;
		this.log.read(this.stream, this.system.nextClaimOffset(), MAX_RECORDS_PER_READ, wait)
			.whenComplete((batch, failure) -> {
				List<ClaimRecord> records = (batch != null) ? batch.records().stream().map(ClaimCodec::decode).toList()
						: List.of();
				this.control.execute(() -> claimsRead(batch, records, failure));
			});
	}

	private void claimsRead(LogBatch batch, List<ClaimRecord> records, Throwable failure) {
		long now = this.clock.getAsLong();
		this.readInProgress = false;
		if (failure != null) {
			this.nextReadNanos = now + READ_RETRY_DELAY_NANOS;
			this.atEnd = false;
			reportLogFailure(failure);
			return;
		}
		this.logFailing = false;
		this.nextReadNanos = now;
		this.system.claimsRead(records, batch.firstRetainedOffset(), batch.endOffset(), now);
		this.atEnd = this.system.nextClaimOffset() >= batch.endOffset();
	}

	private void reportLogFailure(Throwable failure) {
		if (!this.logFailing) {
			this.logFailing = true;
			this.events.write(LogEvent.PLATFORM_UNREACHABLE, this.stream, failure.getMessage());
		}
	}

	private void apply(SubmissionEffect effect, long nowNanos) {
		if (effect instanceof SubmissionEffect.AppendClaims append) {
			append(append);
		}
		else if (effect instanceof SubmissionEffect.StartTasks start) {
			this.events.write(LogEvent.SUBMISSION, start.submission().key(), "started");
			this.jobs.start(start.jobRunNumber(), start.submission(), this.system, nowNanos);
		}
		else if (effect instanceof SubmissionEffect.CancelTask cancel) {
			this.jobs.cancel(cancel.jobRunNumber(), cancel.index(), nowNanos);
		}
		else if (effect instanceof SubmissionEffect.ForwardToHost forward) {
			this.events.write(LogEvent.SUBMISSION, forward.message().key(), "forwarded to " + forward.target());
			completeForwarded(forward.request(), this.peers.toHost(forward.target(), forward.message()));
		}
		else if (effect instanceof SubmissionEffect.ForwardToDataCentre forward) {
			this.events.write(LogEvent.SUBMISSION, forward.message().key(), "forwarded to " + forward.target());
			completeForwarded(forward.request(), this.peers.toDataCentre(forward.target(), forward.message()));
		}
		else if (effect instanceof SubmissionEffect.Reply reply) {
			CompletableFuture<Answer> openRequest = this.openRequests.remove(reply.request());
			if (openRequest != null) {
				openRequest.complete(reply.answer());
			}
		}
		else if (effect instanceof SubmissionEffect.InvariantBroken broken) {
			logger.atSevere().log("%s %s", LogEvent.INTERNAL_FAULT.prefix(), broken.message());
		}
	}

	private void append(SubmissionEffect.AppendClaims append) {
		byte[] record = ClaimCodec.encode(this.self, append.claims());
		this.log.append(this.stream, List.of(record)).whenComplete((offset, failure) -> this.control.execute(() -> {
			if (failure != null) {
				this.system.appendFailed(append.append(), this.clock.getAsLong());
			}
			else {
				this.system.claimsAppended(append.append(), this.clock.getAsLong());
			}
		}));
	}

	private void completeForwarded(long request, CompletableFuture<Answer> answer) {
		answer.whenComplete((received, failure) -> this.control.execute(() -> {
			if (failure != null) {
				boolean mayHaveBeenSent = ErrorReply.toDispatchException(failure).outcome() != Outcome.NOT_RUN;
				this.system.peerFailed(request, mayHaveBeenSent, this.clock.getAsLong());
			}
			else {
				this.system.peerReplied(request, received, this.clock.getAsLong());
			}
		}));
	}

	/**
	 * Reports to the system that an incarnation is alive.
	 * @param incarnation the incarnation, not null
	 * @param nowNanos the current time
	 */
	public void incarnationAlive(Incarnation incarnation, long nowNanos) {
		this.system.incarnationAlive(incarnation, nowNanos);
	}

	/**
	 * Reports to the system that an incarnation has certainly ended.
	 * @param incarnation the incarnation, not null
	 * @param nowNanos the current time
	 */
	public void incarnationEnded(Incarnation incarnation, long nowNanos) {
		this.system.incarnationDead(incarnation, nowNanos);
	}

	/**
	 * Refuses new submissions from now on; running jobs continue.
	 */
	public void drain() {
		this.system.drain();
	}

	/**
	 * Returns the counts as of the last tick. Thread-safe.
	 * @return the counts, not null
	 */
	public SubmissionCounts counts() {
		return this.counts;
	}

}
