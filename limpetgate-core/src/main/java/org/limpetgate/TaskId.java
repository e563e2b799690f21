package org.limpetgate;

/**
 * The id of a task on the entry host that dispatches it.
 * <p>
 * It is unique within one incarnation of the host and has no meaning on other hosts.
 *
 * @param value a number that the host assigns in increasing order
 */
public record TaskId(long value) {

	/**
	 * Returns the id with the given number.
	 * @param value the number
	 * @return the id, not null
	 */
	public static TaskId of(long value) {
		return new TaskId(value);
	}

}
