package org.limpetgate.platform;

import java.util.Objects;

import org.limpetgate.AttemptId;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;

/**
 * The id of the lease under which a worker runs one attempt of a task.
 * <p>
 * It contains the time of issue, so that a worker can tell whether it would still have a
 * record of a start under the lease: a worker that started later, or that discards
 * records of leases of this age, cannot prove that the task did not run. Immutable and
 * thread-safe.
 *
 * @param holder the entry host process that holds the lease
 * @param attempt the attempt, unique within the holder
 * @param issuedNanos when the holder created the id, by its clock, in nanoseconds since
 * the Unix epoch
 */
public record LeaseId(Incarnation holder, AttemptId attempt, long issuedNanos) {

	public LeaseId {
		Objects.requireNonNull(holder, "holder");
		Objects.requireNonNull(attempt, "attempt");
	}

	/**
	 * Returns an id.
	 * @param holder the entry host process that holds the lease, not null
	 * @param attempt the attempt, not null
	 * @param nowNanos the current time in nanoseconds since the Unix epoch, which becomes
	 * the time of issue
	 * @return the id, not null
	 */
	public static LeaseId of(Incarnation holder, AttemptId attempt, long nowNanos) {
		return new LeaseId(holder, attempt, nowNanos);
	}

	/**
	 * Parses the format of {@link #toString()}.
	 * @param text host, incarnation number, attempt and time of issue, separated by
	 * {@code @}
	 * @return the id, not null
	 * @throws IllegalArgumentException if the text has another format
	 */
	public static LeaseId parse(String text) {
		String[] parts = text.split("@", -1);
		if (parts.length != 4) {
			throw new IllegalArgumentException("'" + text + "' does not have the form host@number@attempt@issued");
		}
		Incarnation holder = Incarnation.of(HostId.of(parts[0]), Long.parseLong(parts[1]));
		return of(holder, AttemptId.of(Long.parseLong(parts[2])), Long.parseLong(parts[3]));
	}

	@Override
	public String toString() {
		return this.holder + "@" + this.attempt.value() + "@" + this.issuedNanos;
	}

}
