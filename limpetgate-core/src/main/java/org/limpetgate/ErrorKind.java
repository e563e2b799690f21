package org.limpetgate;

/**
 * The kinds of errors, each with its HTTP status and the remedy for the reader of the
 * message.
 */
public enum ErrorKind {

	/** The HTTP message is malformed. */
	MALFORMED_REQUEST(400, "send a well-formed HTTP/1.1 request"),

	/** The body of a submission breaks its schema. */
	INVALID_SUBMISSION(400, "correct the field that the message names"),

	/** The request head is larger than the limit. */
	HEAD_TOO_LARGE(431, "send fewer or shorter headers"),

	/** The request body is larger than the limit. */
	BODY_TOO_LARGE(413, "send a smaller body or split the job"),

	/** The request did not arrive within the time limit. */
	REQUEST_TIMEOUT(408, "send the whole request without pauses"),

	/** No route matches the request. */
	NO_ROUTE(404, "check caller, method, host and path, or add a route with 'limpetgate routes put'"),

	/** The job has too many tasks. */
	TOO_MANY_TASKS(400, "split the job into jobs of at most 610 tasks"),

	/** The key was used before with another body or expiry. */
	KEY_REUSED(409, "use a new key for a new submission, or resubmit with the same body and expiry"),

	/** The expiry has passed or is too near. */
	EXPIRED(400, "use an expiry in the future; a submission past its expiry is never started"),

	/** The expiry is further ahead than the horizon. */
	EXPIRY_TOO_FAR(400, "use an expiry within the limit that the message names"),

	/** The ticket was not issued by this system or was altered. */
	INVALID_TICKET(400, "request tickets with POST /v1/tickets and use them unchanged"),

	/** The submission is not known here. */
	UNKNOWN_SUBMISSION(404, "check the key, or submit the job"),

	/** The job can never run in its pool. */
	IMPOSSIBLE(422, "reduce the cores, memory or accelerators of the task, or add upstreams that have them"),

	/** The caller is over its quota. */
	QUOTA_EXCEEDED(429, "come back after the time in Retry-After, or ask for a larger quota"),

	/** The work would miss its deadline or a queue is full. */
	OVERLOADED(503, "come back after the time in Retry-After"),

	/** No upstream of the pool can take work. */
	NO_UPSTREAM(503, "come back after the time in Retry-After; operators: check the pool with 'limpetgate status'"),

	/** The host is leaving. */
	SHUTTING_DOWN(503, "send the request again; the balancer will choose another host"),

	/** The host has no configuration that it may trust yet. */
	NOT_READY(503, "come back after the time in Retry-After"),

	/** The claims of submissions cannot be consulted. */
	HISTORY_UNAVAILABLE(503, "resubmit with the same key after the time in Retry-After; this is always safe"),

	/** The host that holds the submission cannot be reached. */
	HOLDER_UNREACHABLE(503, "resubmit with the same key after the time in Retry-After; this is always safe"),

	/** The process that held the submission has ended. */
	HOLDER_LOST(502, "check by other means whether the work was done, then submit with a new key"),

	/** The deadline passed. */
	DEADLINE_EXCEEDED(504, "allow more time, or check the load of the pool"),

	/** The upstream failed to give a whole answer. */
	UPSTREAM_FAILED(502, "check the upstream that the message names"),

	/** A task of the job failed. */
	TASK_FAILED(502, "look at the outcome of each task in the answer"),

	/** The work was cancelled. */
	CANCELLED(409, "submit with a new key to run the job after all"),

	/** The request of an operator has no valid signature. */
	NOT_ADMITTED(401, "sign the request with a configured operator key, as docs/operators-tables.md tells"),

	/** No row has this name. */
	UNKNOWN_ROW(404, "check the name with 'limpetgate routes list' or 'limpetgate pools list'"),

	/** A row was edited from an outdated version. */
	VERSION_CONFLICT(409, "read the row again and repeat the edit from its present version"),

	/** An edit breaks a rule of the tables. */
	INVALID_EDIT(422, "correct the field that the message names"),

	/** The result of an edit is not known. */
	EDIT_UNKNOWN(504, "look it up with 'limpetgate history' before repeating the edit"),

	/** The platform's log cannot be reached. */
	LOG_UNAVAILABLE(503, "come back later; operators: see docs/operators.md, 'Log outage'"),

	/** The platform's service cannot be reached. */
	PLATFORM_UNAVAILABLE(503, "come back later; operators: check the platform"),

	/** The lease of a worker has lapsed. */
	LEASE_LAPSED(502, "none needed for idempotent tasks; otherwise check by other means whether the task ran"),

	/** The peer is not a holder of a configured key or speaks another version. */
	PEER_REFUSED(403, "check the keys and versions of both hosts"),

	/** A fault of the program. */
	INTERNAL(500, "report the message with the log lines around it");

	private final int httpStatus;

	private final String remedy;

	ErrorKind(int httpStatus, String remedy) {
		this.httpStatus = httpStatus;
		this.remedy = remedy;
	}

	/**
	 * Returns the status of HTTP answers with this error.
	 * @return the status, 400 to 599
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns what the reader can do about the error.
	 * @return a phrase in the imperative, not null
	 */
	public String remedy() {
		return this.remedy;
	}

}
