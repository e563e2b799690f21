package org.limpetgate;

/**
 * What is known about the execution of a task or a request.
 * <p>
 * No two of the four outcomes are ever reported as one. Once the first byte of a request
 * may have left the host, {@link #NOT_RUN} requires proof from the upstream.
 */
public enum Outcome {

	/** It ran, and its complete response was received. */
	COMPLETE("complete"),

	/** It started and failed. */
	FAILED("failed"),

	/** It is proven that it did not start. */
	NOT_RUN("not-run"),

	/** It may or may not have run. */
	UNKNOWN("unknown");

	private final String text;

	Outcome(String text) {
		this.text = text;
	}

	/**
	 * Returns the text used in headers and JSON.
	 * @return the text, not null
	 */
	public String text() {
		return this.text;
	}

	/**
	 * Parses the text used in headers and JSON.
	 * @param text the text
	 * @return the outcome, not null
	 * @throws IllegalArgumentException if no outcome has this text
	 */
	public static Outcome parse(String text) {
		for (Outcome outcome : values()) {
			if (outcome.text.equals(text)) {
				return outcome;
			}
		}
		throw new IllegalArgumentException("'" + text + "' is not one of complete, failed, not-run, unknown");
	}

	/**
	 * Tests whether a task with this outcome may be started again.
	 * @param idempotent whether running the task twice has the same effect as once
	 * @return true if the task provably did not run, or is idempotent and not complete
	 */
	public boolean isRetryable(boolean idempotent) {
		return this == NOT_RUN || (idempotent && this != COMPLETE);
	}

}
