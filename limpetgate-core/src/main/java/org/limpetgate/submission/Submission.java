package org.limpetgate.submission;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.limpetgate.CallerId;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.SubmissionKey;

/**
 * A job of 1 to 610 tasks with the caller's key and an absolute expiry.
 * <p>
 * Two submissions are the same if caller, key and fingerprint are equal. The fingerprint
 * covers the tasks and the expiry, but not the attempt number or whether the caller
 * waits, which vary between requests. The expiry is truncated to milliseconds on
 * construction, before anything is derived from it, because claims carry milliseconds and
 * all hosts must compute the same fingerprint. Immutable and thread-safe.
 */
public final class Submission {

	/** The maximum number of tasks in a job. */
	public static final int MAX_TASKS = 610;

	/** The value of {@link #attempt()} if the caller declared none. */
	public static final int ATTEMPT_UNDECLARED = 0;

	private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private static final long TASK_OVERHEAD_BYTES = 200;

	private final CallerId caller;

	private final SubmissionKey key;

	private final KeyHash keyHash;

	private final long expiryNanos;

	private final int attempt;

	private final boolean synchronous;

	private final List<SubmittedTask> tasks;

	private final long fingerprint;

	private final boolean idempotent;

	private final long sizeBytes;

	private Submission(CallerId caller, SubmissionKey key, long expiryNanos, int attempt, boolean synchronous,
			List<SubmittedTask> tasks) {
		this.caller = Objects.requireNonNull(caller, "caller");
		this.key = Objects.requireNonNull(key, "key");
		this.keyHash = KeyHash.of(caller, key);
		this.expiryNanos = expiryNanos - expiryNanos % NANOS_PER_MILLI;
		this.attempt = attempt;
		this.synchronous = synchronous;
		this.tasks = List.copyOf(tasks);
		checkTasks();
		this.fingerprint = computeFingerprint();
		this.idempotent = this.tasks.stream().allMatch(SubmittedTask::idempotent);
		this.sizeBytes = this.tasks.stream().mapToLong(Submission::sizeBytes).sum();
	}

	/**
	 * Returns a submission.
	 * @param caller the caller, not null
	 * @param key the caller's key, not null
	 * @param expiryNanos the time after which no task may start, in nanoseconds since the
	 * Unix epoch; truncated to milliseconds
	 * @param attempt 1 if the caller never sent this key before, above 1 for
	 * resubmissions, {@link #ATTEMPT_UNDECLARED} if not declared
	 * @param synchronous whether the reply is sent when the job has ended, not when it
	 * has been started
	 * @param tasks the tasks, not null
	 * @return the submission, not null
	 * @throws DispatchException with {@link ErrorKind#TOO_MANY_TASKS} or
	 * {@link ErrorKind#INVALID_SUBMISSION}
	 */
	public static Submission of(CallerId caller, SubmissionKey key, long expiryNanos, int attempt, boolean synchronous,
			List<SubmittedTask> tasks) {
		return new Submission(caller, key, expiryNanos, attempt, synchronous, tasks);
	}

	private void checkTasks() {
		if (this.tasks.size() > MAX_TASKS) {
			throw invalid(ErrorKind.TOO_MANY_TASKS, "the job has " + this.tasks.size() + " tasks");
		}
		if (this.tasks.isEmpty()) {
			throw invalid(ErrorKind.INVALID_SUBMISSION, "the job has no tasks");
		}
		Set<String> ids = new HashSet<>();
		for (SubmittedTask task : this.tasks) {
			if (!ids.add(task.id())) {
				throw invalid(ErrorKind.INVALID_SUBMISSION,
						"the task id '" + task.id() + "' is not unique within the job");
			}
		}
	}

	private DispatchException invalid(ErrorKind kind, String detail) {
		return DispatchException.of(kind, isFirstAttempt() ? Outcome.NOT_RUN : Outcome.UNKNOWN, detail);
	}

	private long computeFingerprint() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (DataOutputStream out = new DataOutputStream(bytes)) {
			out.writeLong(this.expiryNanos);
			for (SubmittedTask task : this.tasks) {
				write(task, out);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return ByteBuffer.wrap(KeyHash.sha256().digest(bytes.toByteArray()))
			.getLong() >>> (Long.SIZE - Claim.FINGERPRINT_BYTES * Byte.SIZE);
	}

	private static long sizeBytes(SubmittedTask task) {
		long bytes = TASK_OVERHEAD_BYTES + task.body().length + task.path().length() + task.id().length();
		for (Map.Entry<String, String> header : task.headers().entrySet()) {
			bytes += header.getKey().length() + header.getValue().length();
		}
		return bytes;
	}

	private static void write(SubmittedTask task, DataOutputStream out) throws IOException {
		write(task.id(), out);
		write(task.method(), out);
		write(task.path(), out);
		out.writeInt(task.headers().size());
		for (Map.Entry<String, String> header : new TreeMap<>(task.headers()).entrySet()) {
			write(header.getKey(), out);
			write(header.getValue(), out);
		}
		out.writeInt(task.body().length);
		out.write(task.body());
		write((task.pool() == null) ? "" : task.pool().value(), out);
		out.writeBoolean(task.idempotent());
		out.writeDouble(task.resources().cores());
		out.writeLong(task.resources().memoryMb());
		out.writeInt(task.resources().accelerators());
		out.writeLong(task.runNanos());
	}

	private static void write(String text, DataOutputStream out) throws IOException {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		out.writeInt(bytes.length);
		out.write(bytes);
	}

	/**
	 * Returns the caller.
	 * @return the caller, not null
	 */
	public CallerId caller() {
		return this.caller;
	}

	/**
	 * Returns the caller's key.
	 * @return the key, not null
	 */
	public SubmissionKey key() {
		return this.key;
	}

	/**
	 * Returns the hash of caller and key.
	 * @return the hash, not null
	 */
	public KeyHash keyHash() {
		return this.keyHash;
	}

	/**
	 * Returns the time after which no task may start.
	 * @return the time in nanoseconds since the Unix epoch, a multiple of one millisecond
	 */
	public long expiryNanos() {
		return this.expiryNanos;
	}

	/**
	 * Returns the attempt number that the caller declared.
	 * @return the attempt number, {@link #ATTEMPT_UNDECLARED} if not declared
	 */
	public int attempt() {
		return this.attempt;
	}

	/**
	 * Tests whether the caller declared that it has not sent this key before.
	 * @return true if the declared attempt is 1
	 */
	public boolean isFirstAttempt() {
		return this.attempt == 1;
	}

	/**
	 * Tests whether the caller waits for the job to end.
	 * @return false if the reply is sent when the job has been started
	 */
	public boolean isSynchronous() {
		return this.synchronous;
	}

	/**
	 * Returns the tasks.
	 * @return the tasks, 1 to 610, not modifiable
	 */
	public List<SubmittedTask> tasks() {
		return this.tasks;
	}

	/**
	 * Returns the first 6 bytes of SHA-256 over tasks and expiry.
	 * @return the fingerprint, below 2^48
	 */
	public long fingerprint() {
		return this.fingerprint;
	}

	/**
	 * Tests whether all tasks are idempotent.
	 * @return true if the job may be run again
	 */
	public boolean isIdempotent() {
		return this.idempotent;
	}

	/**
	 * Returns an estimate of the memory that the submission occupies.
	 * @return the size in bytes
	 */
	public long sizeBytes() {
		return this.sizeBytes;
	}

}
