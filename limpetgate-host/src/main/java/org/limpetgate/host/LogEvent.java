package org.limpetgate.host;

/**
 * The numbered log events. {@code docs/log-events.md} is their catalogue.
 * <p>
 * A number is never used again for another event.
 */
public enum LogEvent {

	/** A request was matched with a route. */
	ROUTED(1001, "request task=%s caller=%s route=%s pool=%s"),

	/** No route matches a request. */
	NOT_ROUTED(1002, "request caller=%s method=%s path=%s matches no route"),

	/** A runner was chosen for an attempt. */
	RUNNER_CHOSEN(1101, "attempt=%s task=%s number=%s runner=%s reason=%s"),

	/** A worker was chosen for an attempt. */
	WORKER_CHOSEN(1102, "attempt=%s task=%s number=%s worker=%s reason=%s"),

	/** A task was refused. */
	REFUSED(1103, "task=%s pool=%s refused error=%s detail=%s"),

	/** A request was forwarded to another data centre. */
	FORWARDED(1105, "request task=%s pool=%s forwarded to data centre %s"),

	/** A task ended without a whole answer. */
	TASK_NOT_COMPLETE(1104, "task=%s outcome=%s error=%s detail=%s"),

	/** A submission was accepted, forwarded or attached to a running job. */
	SUBMISSION(1201, "submission key=%s decision=%s"),

	/** Another configuration is in force. */
	CONFIGURATION_APPLIED(2001, "configuration version=%s routes=%s pools=%s"),

	/** The state of a peer changed. */
	MEMBER_CHANGED(3001, "peer=%s state=%s incarnation=%s"),

	/** An upstream announced that it is leaving. */
	UPSTREAM_LEAVING(3002, "upstream=%s is leaving; it gets no new work"),

	/** The platform's log or host list cannot be reached. */
	PLATFORM_UNREACHABLE(3101, "%s cannot be reached: %s"),

	/** The host started. */
	STARTED(4001, "host=%s callers=%s operators=%s peers=%s"),

	/** The host drains. */
	DRAINING(4002, "host=%s drains"),

	/** The host stopped. */
	STOPPED(4003, "host=%s stopped; requests cut off: %s"),

	/** The keys were replaced; the first one of the hosts is the current one. */
	KEYS_REPLACED(4004, "keys of hosts=%s, of operators=%s"),

	/** A fault of the program. */
	INTERNAL_FAULT(9001, "internal fault");

	private final int number;

	private final String format;

	LogEvent(int number, String format) {
		this.number = number;
		this.format = format;
	}

	/**
	 * Returns the number.
	 * @return the number, at least 1000
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the format, with {@code %s} for each argument.
	 * @return the format, not null
	 */
	public String format() {
		return this.format;
	}

	/**
	 * Returns the start of each line of this event.
	 * @return the number and the name, not null
	 */
	public String prefix() {
		return "LG" + this.number + " " + name();
	}

}
