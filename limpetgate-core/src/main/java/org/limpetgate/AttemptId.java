package org.limpetgate;

/**
 * The id of one attempt to run a task at an upstream.
 * <p>
 * It is unique within one incarnation of the host. A response to an attempt that has
 * already ended is late and must be discarded.
 *
 * @param value a number that the host assigns in increasing order
 */
public record AttemptId(long value) {

	/**
	 * Returns the id with the given number.
	 * @param value the number
	 * @return the id, not null
	 */
	public static AttemptId of(long value) {
		return new AttemptId(value);
	}

}
