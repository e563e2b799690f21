package org.limpetgate.host;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.limpetgate.CallerId;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.Resources;
import org.limpetgate.config.Configuration;
import org.limpetgate.config.RequestHead;
import org.limpetgate.config.Route;
import org.limpetgate.dispatch.Admission;
import org.limpetgate.dispatch.DispatchEffect;
import org.limpetgate.dispatch.TaskRequest;
import org.limpetgate.net.http.HeaderNames;
import org.limpetgate.net.http.HttpCall;
import org.limpetgate.net.http.HttpHandler;
import org.limpetgate.net.http.HttpReply;

/**
 * Serves single requests: matches a route, runs the request as one task and returns the
 * upstream's complete answer.
 * <p>
 * A request whose method or route is not idempotent is sent to an upstream at most once,
 * unless the upstream proved that it did not run. Thread-safe.
 */
public final class RequestService implements HttpHandler {

	/** The header that names the caller. */
	public static final String CALLER_HEADER = "limpetgate-caller";

	/** The header with the time that the caller allows, in milliseconds. */
	public static final String DEADLINE_HEADER = "limpetgate-deadline-millis";

	/** The caller of requests without {@link #CALLER_HEADER}. */
	public static final String ANONYMOUS = "anonymous";

	private static final long NOT_READY_RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final TaskService tasks;

	private final Supplier<Configuration> configuration;

	private final Executor control;

	private final LongSupplier clock;

	private final EventLog events;

	/**
	 * Creates a service.
	 * @param tasks runs the tasks, not null
	 * @param configuration returns the tables in force; thread-safe, not null
	 * @param control runs messages on the control thread, not null
	 * @param clock returns the current time in nanoseconds since the Unix epoch, not null
	 * @param events receives an event for each decision, not null
	 */
	public RequestService(TaskService tasks, Supplier<Configuration> configuration, Executor control,
			LongSupplier clock, EventLog events) {
		this.tasks = tasks;
		this.configuration = configuration;
		this.control = control;
		this.clock = clock;
		this.events = events;
	}

	@Override
	public CompletableFuture<HttpReply> handle(HttpCall call) {
		Configuration tables = this.configuration.get();
		if (tables.version() < 0) {
			return CompletableFuture.failedFuture(DispatchException.withRetryAfter(ErrorKind.NOT_READY, Outcome.NOT_RUN,
					"this host has no configuration yet", NOT_READY_RETRY_NANOS));
		}
		CompletableFuture<HttpReply> reply = new CompletableFuture<>();
		try {
			CallerId caller = caller(call);
			Route route = route(tables, call, caller);
			long deadline = this.clock.getAsLong() + timeoutNanos(call, route);
			this.control.execute(() -> offer(call, caller, route, deadline, reply));
		}
		catch (DispatchException ex) {
			reply.completeExceptionally(ex);
		}
		return reply;
	}

	/**
	 * Returns the caller that a request names.
	 * @param call the request, not null
	 * @return the caller, not null
	 * @throws DispatchException if the name is not valid
	 */
	public static CallerId caller(HttpCall call) {
		String name = call.header(CALLER_HEADER);
		try {
			return CallerId.of(name.isEmpty() ? ANONYMOUS : name);
		}
		catch (IllegalArgumentException ex) {
			throw DispatchException.of(ErrorKind.MALFORMED_REQUEST, Outcome.NOT_RUN,
					"header " + CALLER_HEADER + ": " + ex.getMessage());
		}
	}

	private Route route(Configuration tables, HttpCall call, CallerId caller) {
		RequestHead head = new RequestHead(caller.value(), call.method(), hostName(call), call.path(), call.headers());
		Optional<Route> route = tables.match(head);
		if (route.isEmpty()) {
			this.events.write(LogEvent.NOT_ROUTED, caller, call.method(), call.path());
		}
		return route.orElseThrow(() -> DispatchException.of(ErrorKind.NO_ROUTE, Outcome.NOT_RUN,
				"no route matches " + call.method() + " " + call.path() + " of caller '" + caller + "'"));
	}

	private static String hostName(HttpCall call) {
		String host = call.header("host").toLowerCase(Locale.ROOT);
		int port = host.lastIndexOf(':');
		return (port > host.lastIndexOf(']')) ? host.substring(0, port) : host;
	}

	private static long timeoutNanos(HttpCall call, Route route) {
		String text = call.header(DEADLINE_HEADER);
		long millis = route.deadlineMillis();
		if (!text.isEmpty()) {
			millis = Math.min(millis, parseMillis(text));
		}
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private static long parseMillis(String text) {
		try {
			long millis = Long.parseLong(text);
			if (millis > 0) {
				return millis;
			}
		}
		catch (NumberFormatException ex) {
			// Rejected below like a number that is not positive.
		}
		throw DispatchException.of(ErrorKind.MALFORMED_REQUEST, Outcome.NOT_RUN,
				"header " + DEADLINE_HEADER + " must be a positive number of milliseconds, not '" + text + "'");
	}

	private void offer(HttpCall call, CallerId caller, Route route, long deadlineNanos,
			CompletableFuture<HttpReply> reply) {
		long now = this.clock.getAsLong();
		TaskRequest request = new TaskRequest(this.tasks.nextTaskId(), caller, route.name(), route.pool(),
				route.isIdempotent(call.method()), Resources.NONE, call.body().length, deadlineNanos, 0);
		this.events.write(LogEvent.ROUTED, request.id().value(), caller, route.name(), route.pool());
		Admission admission = this.tasks.offer(request, call,
				(ended, answer, endNanos) -> complete(reply, ended, answer), now);
		if (!admission.isAccepted()) {
			reply.completeExceptionally(refusal(admission));
			return;
		}
		cancelOnDisconnect(request, reply);
	}

	// The server cancels the reply when the caller has closed its connection.
	private void cancelOnDisconnect(TaskRequest request, CompletableFuture<HttpReply> reply) {
		reply.whenComplete((answer, failure) -> {
			if (reply.isCancelled()) {
				this.control.execute(() -> this.tasks.cancel(request.id(), this.clock.getAsLong()));
			}
		});
	}

	private static DispatchException refusal(Admission admission) {
		return error(admission.error(), Outcome.NOT_RUN, admission.detail(), admission.retryAfterNanos());
	}

	private static DispatchException error(ErrorKind kind, Outcome outcome, String detail, long retryAfterNanos) {
		return (retryAfterNanos > 0) ? DispatchException.withRetryAfter(kind, outcome, detail, retryAfterNanos)
				: DispatchException.of(kind, outcome, detail);
	}

	private static void complete(CompletableFuture<HttpReply> reply, DispatchEffect.TaskEnded ended, HttpReply answer) {
		if (answer == null) {
			reply.completeExceptionally(error(ended.error(), ended.outcome(), ended.detail(), ended.retryAfterNanos()));
			return;
		}
		Map<String, String> headers = new HashMap<>(answer.headers());
		headers.put(HeaderNames.OUTCOME, ended.outcome().text());
		reply.complete(new HttpReply(answer.status(), headers, answer.body()));
	}

}
