package org.limpetgate.host;

/**
 * The numbered log events. {@code docs/log-events.md} is their catalogue.
 * <p>
 * A number is never reused for another event.
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

	/** A task ended without a complete answer. */
	TASK_NOT_COMPLETE(1104, "task=%s outcome=%s error=%s detail=%s"),

	/** A submission was accepted, forwarded or attached to a running job. */
	SUBMISSION(1201, "submission key=%s decision=%s"),

	/** A job of a caller was accepted. */
	JOB_ACCEPTED(1301, "job=%s queue=%s tasks=%s estimate_ms=%s request=%s"),

	/** A job must be resubmitted: its submission failed or the scheduler returned it. */
	JOB_TAKEN_BACK(1302, "job=%s scheduler=%s reason=%s"),

	/** A job was withdrawn: its callers disconnected or cancelled it. */
	JOB_WITHDRAWN(1303, "job=%s"),

	/** A job was answered. */
	JOB_ENDED(1304, "job=%s outcome=%s took_ms=%s scheduler=%s reason=%s"),

	/** The scheduler received a job from another host. */
	SUBMISSION_RECEIVED(1305, "job=%s origin=%s link=%s max_age_ms=%s waited_ms=%s resubmitted=%s"),

	/** A further request of a caller waits for the answer to a job. */
	JOB_JOINED(1306, "job=%s request=%s"),

	/** The scheduler received the withdrawal of a job from another host. */
	WITHDRAWAL_RECEIVED(1307, "job=%s origin=%s"),

	/** The withdrawal of a job was lost together with the link to its scheduler. */
	WITHDRAWAL_NOT_SENT(1308, "job=%s scheduler=%s reason=%s"),

	/** A worker was ordered to start a run. */
	RUN_ORDERED(1311, "run=%s worker=%s token=%s"),

	/** A worker was ordered to stop a run. */
	STOP_ORDERED(1312, "run=%s worker=%s reason=%s"),

	/** A worker did not report. */
	WORKER_SILENT(1313, "worker=%s failure=%s"),

	/** A run counts as ended although its worker has not listed the end. */
	RUN_GIVEN_UP(1314, "run=%s worker=%s reason=%s confirmed=%s since_renewal_ms=%s fenced=%s"),

	/** A worker crashed while a task may have run on it. */
	WORKER_CRASHED(1315, "task=%s worker=%s crashes=%s alone=%s unconfirmed=%s unresolved=%s"),

	/** No worker of a data centre answers, so that it gets no new runs. */
	DATA_CENTRE_SILENT(1316, "data_centre=%s since_answer_ms=%s workers=%s"),

	/** A worker of a silent data centre has answered, so that it gets new runs again. */
	DATA_CENTRE_ANSWERS(1317, "data_centre=%s since_answer_ms=%s"),

	/** An entry names another process in the place of a worker that answers. */
	WORKER_ENTRY_REFUTED(1318, "worker=%s incarnation=%s entry=%s entry_incarnation=%s service=%s address=%s"),

	/** A job that an earlier scheduler may have started may start tasks here. */
	HANDOVER_SETTLED(1319, "job=%s proof=%s waited_ms=%s workers=%s list_age_ms=%s"),

	/** The stored jobs were taken over from the platform's store. */
	STORED_JOBS_READ(1320, "epoch=%s jobs=%s unlisted_workers=%s"),

	/** This host no longer owns the stored jobs. */
	STORED_JOBS_LOST(1321, "epoch=%s reason=%s"),

	/** A stored job has ended; its callers are notified once that is saved. */
	STORED_JOB_ENDED(1323, "job=%s state=%s"),

	/** A job was refused because capacity is short. */
	JOB_REFUSED(1330,
			"job=%s queue=%s reason=%s projected_delay_ms=%s limit_ms=%s work_ahead_core_ms=%s waiting_jobs=%s"
					+ " projection_age_ms=%s retry_after_s=%s"),

	/** A run was stopped to start its task on another worker. */
	RUN_MOVED(1340,
			"run=%s from=%s to=%s reason=%s end_here_ms=%s end_there_ms=%s useful_ms=%s progress=%s "
					+ "lost_core_ms=%s"),

	/** A worker has turned slow or has recovered. */
	WORKER_SPEED_CHANGED(1341, "worker=%s slow=%s factor_before=%s factor=%s"),

	/** A run is stopped for a more urgent job. */
	RUN_PREEMPTED(1350, "run=%s worker=%s for=%s lost_core_s=%s saved_cost=%s cost=%s"),

	/** A new configuration is in force. */
	CONFIGURATION_APPLIED(2001, "configuration version=%s routes=%s pools=%s"),

	/** Another version of the queues has come into force. */
	QUEUES_APPLIED(2002, "version=%s queues=%s source=%s max_age_ms=%s"),

	/** The state of a peer changed. */
	MEMBER_CHANGED(3001, "peer=%s state=%s incarnation=%s"),

	/** An upstream announced that it is leaving. */
	UPSTREAM_LEAVING(3002, "upstream=%s is leaving; it gets no new work"),

	/** The platform's log or host list cannot be reached. */
	PLATFORM_UNREACHABLE(3101, "%s cannot be reached: %s"),

	/** This host has become the scheduler. */
	SCHEDULING_STARTED(3201, "host=%s claim=%s whole=%s workers=%s list_age_ms=%s"),

	/** This host is no longer the scheduler. */
	SCHEDULING_ENDED(3202, "host=%s successor=%s"),

	/** Another host has become the scheduler. */
	SCHEDULER_KNOWN(3203, "scheduler=%s"),

	/** The link to a host was lost. */
	HOST_LOST(3204, "host=%s"),

	/** This host ended the jobs of a host from which it received nothing for too long. */
	SUBMISSION_LEASE_EXPIRED(3205, "origin=%s link=%s jobs=%s"),

	/** A message was refused because its sender may have given it up. */
	STALE_MESSAGE_REFUSED(3206, "message=%s host=%s link=%s max_age_ms=%s"),

	/** A data centre is drained: no task starts there. */
	DATA_CENTRE_DRAINED(3210, "data_centre=%s version=%s source=%s max_age_ms=%s"),

	/** A data centre is no longer drained. */
	DATA_CENTRE_RETURNED(3211, "data_centre=%s version=%s source=%s max_age_ms=%s"),

	/** A record that requests a drain has no effect. */
	DRAIN_RECORD_IGNORED(3212, "record=%s reason=%s"),

	/** The host started. */
	STARTED(4001, "host=%s callers=%s operators=%s peers=%s"),

	/** The host is draining. */
	DRAINING(4002, "host=%s drains"),

	/** The host stopped. */
	STOPPED(4003, "host=%s stopped; requests cut off: %s"),

	/** The keys were replaced; the first key of the hosts is the current one. */
	KEYS_REPLACED(4004, "keys of hosts=%s, of operators=%s"),

	/** A bug in the program. */
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
