package org.limpetgate;

/**
 * The kinds of errors, each with its HTTP status code and a remedy, which error messages
 * contain.
 */
public enum ErrorKind {

	/** The HTTP message is malformed. */
	MALFORMED_REQUEST(400, "send a well-formed HTTP/1.1 request"),

	/** The body of a submission does not conform to its schema. */
	INVALID_SUBMISSION(400, "correct the field that the message names"),

	/** The request head is larger than the limit. */
	HEAD_TOO_LARGE(431, "send fewer or shorter headers"),

	/** The request body is larger than the limit. */
	BODY_TOO_LARGE(413, "send a smaller body or split the job"),

	/** The request did not arrive within the time limit. */
	REQUEST_TIMEOUT(408, "send the complete request without pauses"),

	/** No route matches the request. */
	NO_ROUTE(404, "check caller, method, host and path, or add a route with 'limpetgate routes put'"),

	/** The job has too many tasks. */
	TOO_MANY_TASKS(400, "split the job into jobs of at most 610 tasks"),

	/** The key was already used with another body or expiry. */
	KEY_REUSED(409, "use a new key for a new submission, or resubmit with the same body and expiry"),

	/** The expiry has passed or is too close. */
	EXPIRED(400, "use an expiry in the future; a submission past its expiry is never started"),

	/** The expiry is further ahead than the limit. */
	EXPIRY_TOO_FAR(400, "use an expiry within the limit that the message names"),

	/** The ticket was not issued by this system or was altered. */
	INVALID_TICKET(400, "request tickets with POST /v1/tickets and use them unchanged"),

	/** The submission is not known. */
	UNKNOWN_SUBMISSION(404, "check the key, or submit the job"),

	/** The job can never run in its pool. */
	IMPOSSIBLE(422, "reduce the cores, memory or accelerators of the task, or add upstreams that have them"),

	/** The caller has exceeded its quota. */
	QUOTA_EXCEEDED(429, "retry after the time in Retry-After, or request a larger quota"),

	/** The work would miss its deadline or a queue is full. */
	OVERLOADED(503, "retry after the time in Retry-After"),

	/** No upstream of the pool accepts work. */
	NO_UPSTREAM(503, "retry after the time in Retry-After; operators: check the pool with 'limpetgate status'"),

	/** The host is leaving. */
	SHUTTING_DOWN(503, "send the request again; the load balancer will choose another host"),

	/** The host does not yet have a configuration that it may use. */
	NOT_READY(503, "retry after the time in Retry-After"),

	/** The claims of submissions are unavailable. */
	HISTORY_UNAVAILABLE(503, "resubmit with the same key after the time in Retry-After; this is always safe"),

	/** The host that holds the submission cannot be reached. */
	HOLDER_UNREACHABLE(503, "resubmit with the same key after the time in Retry-After; this is always safe"),

	/** The host process that held the submission has terminated. */
	HOLDER_LOST(502, "check by other means whether the job ran, then submit it with a new key"),

	/** The deadline passed. */
	DEADLINE_EXCEEDED(504, "allow more time, or check the load of the pool"),

	/** The upstream did not send a complete response. */
	UPSTREAM_FAILED(502, "check the upstream that the message names"),

	/** A task of the job failed. */
	TASK_FAILED(502, "check the outcome of each task in the response"),

	/** The task, job or request was cancelled. */
	CANCELLED(409, "submit the job with a new key if it is to run"),

	/** The request of an operator has no valid signature. */
	NOT_ADMITTED(401, "sign the request with a configured operator key, as described in docs/operators-tables.md"),

	/** No row has this name. */
	UNKNOWN_ROW(404, "check the name with 'limpetgate routes list' or 'limpetgate pools list'"),

	/** A row was edited from an outdated version. */
	VERSION_CONFLICT(409, "read the row again and repeat the edit from its current version"),

	/** An edit violates a rule of the tables. */
	INVALID_EDIT(422, "correct the field that the message names"),

	/** The result of an edit is not known. */
	EDIT_UNKNOWN(504, "check with 'limpetgate history' before you repeat the edit"),

	/** The platform's log cannot be reached. */
	LOG_UNAVAILABLE(503, "retry later; operators: see docs/operators.md, 'Log outage'"),

	/** A service of the platform cannot be reached. */
	PLATFORM_UNAVAILABLE(503, "retry later; operators: check the platform"),

	/** The lease of a task on a worker has expired. */
	LEASE_LAPSED(502, "none needed for idempotent tasks; otherwise check by other means whether the task ran"),

	/** The peer does not have a configured key or uses another protocol version. */
	PEER_REFUSED(403, "check the keys and versions of both hosts"),

	/** The message was delayed so long that its sender may have given it up. */
	STALE_MESSAGE(503, "retry after the time in Retry-After"),

	/** An internal error, caused by a bug. */
	INTERNAL(500, "report the message with the log lines around it");

	private final int httpStatus;

	private final String remedy;

	ErrorKind(int httpStatus, String remedy) {
		this.httpStatus = httpStatus;
		this.remedy = remedy;
	}

	/**
	 * Returns the status code of HTTP responses with this error.
	 * @return the status code, 400 to 599
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns how to resolve the error.
	 * @return a phrase in the imperative, not null
	 */
	public String remedy() {
		return this.remedy;
	}

}
